"""The tokens of a generation, as a function of what was asked for."""

import hashlib
import math
import re
import zlib

LENGTH_MARKER = re.compile(r"\blen=(\d+)\b")
PREFIX_WORDS = 16


class Text:
    """The whole output for one prompt, seed, model and version.

    Attributes:
        length: Number of tokens before the stop, unknown to callers.
    """

    def __init__(
        self,
        prompt: str,
        seed: int,
        version: str,
        bounds: tuple[int, int],
        salt: str = "",
    ) -> None:
        """Draws the length within `bounds` unless the prompt has `len=N`."""
        asked = f"{prompt}\0{seed}\0{version}\0{salt}".encode()
        self._digest = hashlib.blake2b(asked, digest_size=8).digest()
        marker = LENGTH_MARKER.search(prompt)
        self.length = int(marker[1]) if marker else self._draw(bounds)

    def token(self, index: int) -> str:
        """Returns the token at `index`."""
        return f"w{zlib.crc32(b'%d' % index, self._seed):08x} "

    def tokens(self, max_tokens: int) -> list[str]:
        """Returns all tokens that a caller should get."""
        count = min(self.length, max_tokens)
        return [self.token(index) for index in range(count)]

    @property
    def _seed(self) -> int:
        return int.from_bytes(self._digest[:4], "big")

    def _draw(self, bounds: tuple[int, int]) -> int:
        low, high = bounds
        part = int.from_bytes(self._digest[4:], "big") / 2**32
        return round(low * math.exp(part * math.log(high / low)))


def prefix_hash(model: str, prompt: str) -> str:
    """Returns the hash under which a prompt's prefix is cached."""
    words = " ".join(prompt.split()[:PREFIX_WORDS])
    data = f"{model}\0{words}".encode()
    return hashlib.blake2b(data, digest_size=8).hexdigest()
