"""Calls of an HTTP session, in the form of the recorded ones."""

import base64


class RecordingSession:
    """Keep each call and let it fail, as if nobody listened."""

    def __init__(self):
        self.calls = []

    def request(
        self, method, url, *, params=None, data=None, headers=None, timeout=None
    ):
        call = {
            "method": method,
            "url": url,
            "query": None if params is None else dict(params),
            "body": base64.b64encode(data or b"").decode(),
            "headers": headers,
        }
        self.calls.append(call)
        raise OSError("nobody listens")
