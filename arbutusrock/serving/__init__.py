"""HTTP listeners that clients cannot exhaust."""

from arbutusrock.serving.bodies import BodyOverLimit
from arbutusrock.serving.bodies import read_body
from arbutusrock.serving.connection_table import ConnectionTable
from arbutusrock.serving.connection_table import Ending
from arbutusrock.serving.limits import ConnectionLimits
from arbutusrock.serving.listener import Listener
from arbutusrock.serving.listener import open_socket
from arbutusrock.serving.listener import RECEIVE_BUFFER_BYTES

__all__ = [
    'BodyOverLimit',
    'ConnectionLimits',
    'ConnectionTable',
    'Ending',
    'Listener',
    'RECEIVE_BUFFER_BYTES',
    'open_socket',
    'read_body',
]
