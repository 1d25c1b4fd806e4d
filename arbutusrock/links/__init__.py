"""Links to callers, upstreams, peers, the platform and operators."""

from arbutusrock.links.platform import Conflicted
from arbutusrock.links.platform import PlatformClient

__all__ = ['Conflicted', 'PlatformClient']
