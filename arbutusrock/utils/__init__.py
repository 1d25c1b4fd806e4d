"""General helpers that do not depend on other parts of the project.

``documents`` is not imported here, as it needs a parser of YAML, which the
node of a platform does not use.
"""

from arbutusrock.utils.clocks import now_s
from arbutusrock.utils.clocks import wall_time_s

__all__ = ['now_s', 'wall_time_s']
