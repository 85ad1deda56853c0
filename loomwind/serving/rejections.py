"""Why servers reject requests without running them."""

import enum


class RejectionCause(enum.Enum):
    """The likely cause of a rejection, as far as a daemon knows the server."""

    NO_PLACE = "no place"
    NOT_HELD = "target not held"
    LOADING = "an order is under way"
