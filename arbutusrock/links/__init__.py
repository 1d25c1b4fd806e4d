"""Links to callers, upstreams, peers, the platform and operators."""

from arbutusrock.links.platform_client import Conflicted
from arbutusrock.links.platform_client import PlatformClient

__all__ = ['Conflicted', 'PlatformClient']
