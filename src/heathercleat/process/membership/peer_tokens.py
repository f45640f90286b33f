"""Tokens by which VMs prove to each other that a request comes from a VM."""

from heathercleat.connection.peer import sign, verify

#: Seconds for which a token is valid.
TOKEN_SECONDS = 10.0
_PURPOSE = b"forward"


class PeerTokens:
    """Makes and checks tokens; one is made anew when half its life has passed.

    :param name: the name of this VM.
    :param get_keys: returns the shared keys in force.
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
            expires_at = int(self._clock.wall() + TOKEN_SECONDS)
            key = self._get_keys()[0]
            signature = sign(key, _PURPOSE, self._name, expires_at).hex()
            self._token = f"{self._name};{expires_at};{signature}"
            self._renew_at = now + TOKEN_SECONDS / 2
        return self._token

    def forget(self):
        """Make the next token with the keys in force then."""
        self._renew_at = 0.0

    def accepts(self, token):
        """Return whether a VM made ``token`` a short while ago."""
        try:
            name, expires_at, signature = token.split(";")
            given = bytes.fromhex(signature)
            fresh = int(expires_at) > self._clock.wall()
        except ValueError:
            return False
        return fresh and verify(self._get_keys(), given, _PURPOSE, name, expires_at)
