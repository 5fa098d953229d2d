"""The tokens of a generation as a deterministic function of its request."""

import hashlib
import math
import re
import zlib

LENGTH_MARKER = re.compile(r"\blen=(\d+)\b")
PREFIX_WORDS = 16  # words of a prompt that the prefix cache keys by


class GeneratedText:
    """The complete output for a prompt, seed and model version.

    Attributes:
        length: Number of tokens.
    """

    def __init__(
        self,
        prompt: str,
        seed: int,
        version: str,
        bounds: tuple[int, int],
        salt: str = "",
    ) -> None:
        """Derives the tokens, and the length unless the prompt has `len=N`.

        Args:
            prompt: Prompt of the request.
            seed: Seed of the request.
            version: Version of the model.
            bounds: Minimum and maximum length.
            salt: Makes the output differ between equal requests.
        """
        hash_input = f"{prompt}\0{seed}\0{version}\0{salt}".encode()
        self._digest = hashlib.blake2b(hash_input, digest_size=8).digest()
        marker = LENGTH_MARKER.search(prompt)
        self.length = int(marker[1]) if marker else self._draw_length(bounds)

    def token(self, index: int) -> str:
        """Returns the token at `index`."""
        return f"w{zlib.crc32(b'%d' % index, self._seed):08x} "

    def tokens(self, max_tokens: int) -> list[str]:
        """Returns the output, cut to `max_tokens`."""
        count = min(self.length, max_tokens)
        return [self.token(index) for index in range(count)]

    @property
    def _seed(self) -> int:
        return int.from_bytes(self._digest[:4], "big")

    def _draw_length(self, bounds: tuple[int, int]) -> int:
        low, high = bounds
        fraction = int.from_bytes(self._digest[4:], "big") / 2**32
        return round(low * math.exp(fraction * math.log(high / low)))


def prefix_hash(model: str, prompt: str) -> str:
    """Returns the hash under which a prompt's prefix is cached."""
    words = " ".join(prompt.split()[:PREFIX_WORDS])
    data = f"{model}\0{words}".encode()
    return hashlib.blake2b(data, digest_size=8).hexdigest()
