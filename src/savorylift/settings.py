"""Types of settings values, with their constraints."""

from typing import Annotated, NamedTuple

import msgspec

Address = Annotated[str, msgspec.Meta(pattern=r"^\d+\.\d+\.\d+\.\d+:\d+$")]
Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9._-]*$")]
Seconds = Annotated[float, msgspec.Meta(gt=0)]
Secret = Annotated[str, msgspec.Meta(min_length=16)]
PositiveInt = Annotated[int, msgspec.Meta(ge=1)]


class TlsSettings(NamedTuple):
    """Certificate files of a TLS listener.

    Attributes:
        certificate: Path of the PEM certificate chain.
        private_key: Path of the PEM private key.
    """

    certificate: str
    private_key: str
