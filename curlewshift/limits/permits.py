"""Authorization by bearer tokens (RFC 6750), checked before a request costs anything.

A token is a JSON Web Token signed with one of the keys that the front holds, named by `kid`. Its claims: `exp` (required),
`nbf`, `sub` (a workplace or a person; required), `packages` and `titles` (lists; default: all), `addresses` (networks of
the workplace; default: any), `may` (`play`, `publish`; default: play). Keys come as a JSON Web Key Set (RFC 7517). They are
rotated without a restart: add the new key beside the old one, and remove the old one later.
"""

from __future__ import annotations

import ipaddress
import json
from dataclasses import dataclass

import jwt

# The clocks of the issuer and of the front may differ by so much (s).
CLOCK_SKEW_S = 30
MAX_TOKEN_BYTES = 8 * 1024
# One algorithm for each key type: the token must not choose how it is verified (RFC 8725, 3.1).
ALGORITHMS = {"oct": "HS256", "OKP": "EdDSA", "EC": "ES256"}
MIN_SECRET_BYTES = 32


class PermitDenied(Exception):
    """A request is not authorized: HTTP status, error code of RFC 6750 (empty if there was no token) and description."""

    def __init__(self, status: int, error: str, description: str):
        super().__init__(description)
        self.status, self.error = status, error

    @property
    def challenge(self) -> str:
        """The value of WWW-Authenticate."""
        return f'Bearer error="{self.error}", error_description="{self}"' if self.error else "Bearer"


class InvalidKeySet(Exception):
    """A key set is not valid; the previous one stays in force."""


@dataclass(frozen=True, slots=True)
class Permit:
    """What a verified token allows. `holder` is its subject; None as a set means that all are allowed."""

    holder: str
    packages: frozenset[str] | None
    titles: frozenset[str] | None
    networks: tuple
    may: frozenset[str]


def read_keys(raw: bytes) -> dict[str, jwt.PyJWK]:
    """The keys of a JSON Web Key Set, by `kid`. Raises `InvalidKeySet`."""
    try:
        rows = json.loads(raw)["keys"]
        keys = {}
        for number, row in enumerate(rows, 1):
            kind, name = row.get("kty"), row.get("kid")
            if kind not in ALGORITHMS:
                raise InvalidKeySet(f"key {number}: kty is {kind!r}, expected one of {', '.join(ALGORITHMS)}")
            if not name or name in keys:
                raise InvalidKeySet(f"key {number}: kid is {'missing' if not name else 'a duplicate'}")
            keys[name] = jwt.PyJWK(row, ALGORITHMS[kind])
            if kind == "oct" and len(keys[name].key) < MIN_SECRET_BYTES:
                raise InvalidKeySet(f"key {name!r}: the secret has {len(keys[name].key)} bytes, minimum is {MIN_SECRET_BYTES}")
    except (ValueError, KeyError, TypeError, AttributeError, jwt.PyJWTError) as error:
        raise InvalidKeySet(f"not a JSON Web Key Set: {error}") from None
    if not keys:
        raise InvalidKeySet("the key set is empty")
    return keys


class Permits:
    """Verifies tokens with the keys in force. Nothing of a token is stored."""

    def __init__(self, keys: dict[str, jwt.PyJWK]):
        self.keys = keys

    def replace(self, keys: dict[str, jwt.PyJWK]) -> tuple[set[str], set[str]]:
        """Replaces the keys; returns the names that were added and those that were removed."""
        before, self.keys = self.keys, keys
        return keys.keys() - before.keys(), before.keys() - keys.keys()

    def read(self, authorization: str | None, now: int) -> Permit:
        """The permit in an `Authorization` header. `now` is Unix time in ns. Raises `PermitDenied`."""
        if not authorization:
            raise PermitDenied(401, "", "a bearer token is needed")
        scheme, _, token = authorization.partition(" ")
        if scheme.lower() != "bearer" or not token.strip():
            raise PermitDenied(401, "", "a bearer token is needed")
        if len(token) > MAX_TOKEN_BYTES:
            raise PermitDenied(401, "invalid_token", "the token is too long")
        return self._permit(self._claims(token.strip()), now // 1_000_000_000)

    def _claims(self, token: str) -> dict:
        try:
            key = self.keys.get(jwt.get_unverified_header(token).get("kid"))
            if key is None:
                raise PermitDenied(401, "invalid_token", "the token is signed with no key that is in force")
            # `exp` and `nbf` are checked in `_permit` by the caller's clock; the signature is compared in constant time
            return jwt.decode(
                token,
                key,
                algorithms=[key.algorithm_name],
                options={
                    "verify_exp": False,
                    "verify_nbf": False,
                    "verify_iat": False,
                    "verify_aud": False,
                    "verify_iss": False,
                    "verify_sub": False,
                    "verify_jti": False,
                },
            )
        except (jwt.PyJWTError, ValueError, TypeError, AttributeError):
            raise PermitDenied(401, "invalid_token", "the token cannot be read, or its signature is wrong") from None

    def _permit(self, claims: dict, now: int) -> Permit:
        expires_at, valid_from, holder = claims.get("exp"), claims.get("nbf", 0), claims.get("sub")
        if not isinstance(expires_at, (int, float)) or not isinstance(valid_from, (int, float)):
            raise PermitDenied(401, "invalid_token", "the token has no time at which it ends (exp)")
        if now > expires_at + CLOCK_SKEW_S:
            raise PermitDenied(401, "invalid_token", "the token has expired")
        if now < valid_from - CLOCK_SKEW_S:
            raise PermitDenied(401, "invalid_token", "the token is not valid yet")
        if not isinstance(holder, str) or not holder:
            raise PermitDenied(401, "invalid_token", "the token says nobody it was made for (sub)")
        try:
            networks = tuple(ipaddress.ip_network(network) for network in claims.get("addresses", ()))
            named = {
                name: None if claims.get(name) is None else frozenset(map(str, claims[name]))
                for name in ("packages", "titles", "may")
            }
        except (ValueError, TypeError):
            raise PermitDenied(401, "invalid_token", "a claim of the token is not of its form") from None
        return Permit(holder, named["packages"], named["titles"], networks, named["may"] or frozenset({"play"}))


def allow(permit: Permit, package: str, title: str, publishes: bool, address: str) -> None:
    """Raises `PermitDenied` unless the permit covers the action, the package, the title and the client's address."""
    required = "publish" if publishes else "play"
    if required not in permit.may:
        raise PermitDenied(403, "insufficient_scope", f"the token is not for one who may {required}")
    if permit.packages is not None and package not in permit.packages:
        raise PermitDenied(403, "insufficient_scope", "the token is for other packages")
    if permit.titles is not None and title not in permit.titles:
        raise PermitDenied(403, "insufficient_scope", "the token is for other titles")
    if permit.networks and not any(ipaddress.ip_address(address) in network for network in permit.networks):
        raise PermitDenied(403, "insufficient_scope", "the token is for desks at other addresses")
