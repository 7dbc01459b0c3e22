"""The states of a connection to a data node, and the messages that the node may send in each."""

from __future__ import annotations

from enum import Enum

# Message types of the PostgreSQL backend
DATA_ROW = ord("D")
READY_FOR_QUERY = ord("Z")
COMMAND_COMPLETE = ord("C")
ROW_DESCRIPTION = ord("T")
ERROR_RESPONSE = ord("E")
PARAMETER_DESCRIPTION = ord("t")
NO_DATA = ord("n")
AUTHENTICATION = ord("R")
BACKEND_KEY_DATA = ord("K")
COPY_RESPONSES = tuple(b"GHW")  # CopyIn, CopyOut, CopyBoth
# NotificationResponse, NoticeResponse, ParameterStatus: may arrive at any time
ASYNCHRONOUS_MESSAGES = tuple(b"ANS")
# ParseComplete, BindComplete, CloseComplete, EmptyQueryResponse, NoData, PortalSuspended
PROGRESS_MESSAGES = tuple(b"123Ins")
LOGIN_MESSAGES = (*b"v", AUTHENTICATION, BACKEND_KEY_DATA, READY_FOR_QUERY, ERROR_RESPONSE)
RESULT_MESSAGES = (
    DATA_ROW,
    READY_FOR_QUERY,
    COMMAND_COMPLETE,
    ROW_DESCRIPTION,
    ERROR_RESPONSE,
    PARAMETER_DESCRIPTION,
    *PROGRESS_MESSAGES,
    *COPY_RESPONSES,
)


class ConnectionState(Enum):
    """States of a connection to a data node."""

    STARTING = "starting"  # connecting or logging in
    IDLE = "idle"
    BUSY = "busy"  # running a shard request
    CANCELLING = "cancelling"  # abandoned; the node has not finished the request yet
    AWAITING_CANCEL = "awaiting_cancel"  # ready, but the CancelRequest may still arrive
    CLOSED = "closed"


# What a node may send in each state, besides the asynchronous messages. An error of an idle node
# announces that it closes the connection.
EXPECTED_MESSAGES = {
    ConnectionState.STARTING: LOGIN_MESSAGES,
    ConnectionState.IDLE: (ERROR_RESPONSE,),
    ConnectionState.BUSY: RESULT_MESSAGES,
    ConnectionState.CANCELLING: RESULT_MESSAGES,
    ConnectionState.AWAITING_CANCEL: (ERROR_RESPONSE, READY_FOR_QUERY),
}
