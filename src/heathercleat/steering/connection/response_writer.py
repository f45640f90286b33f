"""Writes responses in pieces, and frees the memory of what was written."""

import h11

#: Responses up to this size, in bytes, are written at once, with their head.
SMALL_RESPONSE_BYTES = 16 << 10


async def write_response(stream, head, body, output, reservation):
    """Write a response to a connection whose output is counted.

    :param head: the :class:`h11.Response`.
    :param body: a :class:`ChunkedBody` or bytes.
    :param output: the :class:`ResponseOutput` of the connection.
    :param reservation: the :class:`ResponseReservation` of the response, or ``None``.
    """
    size = len(body)
    if reservation is not None:
        reservation.trim(size)
        output.begin(reservation.hand_over(), size)
    else:
        output.begin(0, size)
    if size <= SMALL_RESPONSE_BYTES:
        events = [h11.Data(data=bytes(body))] if size else []
        await stream.send_counted(
            output.record_written, head, *events, h11.EndOfMessage()
        )
    else:
        await stream.send_counted(output.record_written, head)
        for chunk in _chunks(body):
            await stream.send_counted(output.record_written, h11.Data(data=chunk))
            output.record_consumed(len(chunk))
        await stream.send_counted(output.record_written, h11.EndOfMessage())
    output.finish()


def _chunks(body):
    return [body] if isinstance(body, bytes) else body.consume()
