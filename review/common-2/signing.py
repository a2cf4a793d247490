"""Ed25519 (RFC 8032) and JWS compact serialization (RFC 7515, RFC 8037), as far as an issuer of tokens needs them. Not
for anything but tests: it is slow, and its running time depends on the keys."""

import base64
import hashlib
import json

P = 2**255 - 19
ORDER = 2**252 + 27742317777372353535851937790883648493
D = -121665 * pow(121666, P - 2, P) % P
BASE_Y = 4 * pow(5, P - 2, P) % P


def _x_of(y):
    square = (y * y - 1) * pow(D * y * y + 1, P - 2, P) % P
    x = pow(square, (P + 3) // 8, P)
    if (x * x - square) % P:
        x = x * pow(2, (P - 1) // 4, P) % P
    return x if x % 2 == 0 else P - x


BASE = (_x_of(BASE_Y), BASE_Y, 1, _x_of(BASE_Y) * BASE_Y % P)


def _add(one, other):
    a = (one[1] - one[0]) * (other[1] - other[0]) % P
    b = (one[1] + one[0]) * (other[1] + other[0]) % P
    c = 2 * one[3] * other[3] * D % P
    d = 2 * one[2] * other[2] % P
    e, f, g, h = b - a, d - c, d + c, b + a
    return (e * f % P, g * h % P, f * g % P, e * h % P)


def _times(factor, point):
    total = (0, 1, 1, 0)
    while factor:
        if factor & 1:
            total = _add(total, point)
        point = _add(point, point)
        factor >>= 1
    return total


def _encode(point):
    inverse = pow(point[2], P - 2, P)
    x, y = point[0] * inverse % P, point[1] * inverse % P
    return (y | (x & 1) << 255).to_bytes(32, "little")


def _number(*parts):
    return int.from_bytes(hashlib.sha512(b"".join(parts)).digest(), "little")


def base64url(data):
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


class Key:
    """A private key with its id."""

    def __init__(self, kid, secret):
        self.kid = kid
        digest = hashlib.sha512(secret).digest()
        scalar = int.from_bytes(digest[:32], "little")
        self.scalar = scalar & ~7 & (1 << 254) - 1 | 1 << 254
        self.prefix = digest[32:]
        self.public = _encode(_times(self.scalar, BASE))

    def sign(self, message):
        nonce = _number(self.prefix, message) % ORDER
        point = _encode(_times(nonce, BASE))
        answer = (nonce + _number(point, self.public, message) * self.scalar) % ORDER
        return point + answer.to_bytes(32, "little")

    def document(self, payload, media_type=None):
        """A signed document in compact serialization."""
        head = {"alg": "EdDSA", "kid": self.kid}
        if media_type:
            head["typ"] = media_type
        text = ".".join(base64url(json.dumps(part).encode()) for part in (head, payload))
        return text + "." + base64url(self.sign(text.encode()))
