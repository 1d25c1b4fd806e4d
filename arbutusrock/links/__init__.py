"""Network interfaces of a member.

They serve callers and operators, and connect to upstreams (the workers),
to peers (the other members) and to the platform.
"""

from arbutusrock.links.platform_client import Conflicted
from arbutusrock.links.platform_client import PlatformClient

__all__ = ['Conflicted', 'PlatformClient']
