"""General helpers that do not depend on other parts of the project."""

from arbutusrock.utils.clocks import now_s
from arbutusrock.utils.clocks import wall_time_s
from arbutusrock.utils.documents import decode_row
from arbutusrock.utils.documents import encode_row
from arbutusrock.utils.documents import parse_document

__all__ = [
    'decode_row',
    'encode_row',
    'now_s',
    'parse_document',
    'wall_time_s',
]
