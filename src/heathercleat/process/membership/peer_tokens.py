"""Tokens that prove that a forwarded request comes from a VM."""

from heathercleat.connection.peer import sign, verify

#: Seconds for which a token is valid.
TOKEN_TTL_SECONDS = 10.0
_PURPOSE = b"forward"


class PeerTokens:
    """Issues and verifies tokens; a token is renewed after half of its lifetime.

    :param name: the name of this VM.
    :param get_keys: a callable that returns the current shared keys.
    """

    def __init__(self, name, get_keys, clock):
        self._name = name
        self._get_keys = get_keys
        self._clock = clock
        self._token = ""
        self._renew_at = 0.0

    def current(self):
        """Return a valid token of this VM."""
        now = self._clock.now()
        if now >= self._renew_at:
            expires_at = int(self._clock.wall() + TOKEN_TTL_SECONDS)
            key = self._get_keys()[0]
            signature = sign(key, _PURPOSE, self._name, expires_at).hex()
            self._token = f"{self._name};{expires_at};{signature}"
            self._renew_at = now + TOKEN_TTL_SECONDS / 2
        return self._token

    def invalidate(self):
        """Discard the current token, after a change of the keys."""
        self._renew_at = 0.0

    def accepts(self, token):
        """Return whether ``token`` is signed with a shared key and has not expired."""
        try:
            name, expires_at, signature = token.split(";")
            received = bytes.fromhex(signature)
            is_unexpired = int(expires_at) > self._clock.wall()
        except ValueError:
            return False
        return is_unexpired and verify(
            self._get_keys(), received, _PURPOSE, name, expires_at
        )
