"""Which messages a response names, so that it can be matched with its call."""

from irisstack.node.http import Message


def named_ids(response: Message) -> frozenset[str]:
    """The words that a response gives as ids: its `X-Request-ID` and the first word of each line of its body.

    The answer to a single call may have its message's id as the body; the answer to a batch call has a line
    for each message. A body that means something else gives words that are nobody's ids.
    """
    lines = bytes(response.body).decode("latin-1").splitlines()
    words = [line.split(maxsplit=1)[0] for line in lines if line.strip()]
    return frozenset(filter(None, (response.headers.get("x-request-id", ""), *words)))
