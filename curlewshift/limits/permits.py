"""Bearer tokens (RFC 6750): who may ask for what. Decided here, before a request costs anything.

A token is a JSON Web Token signed with one of the keys that the front holds, named by `kid`. Its claims: `exp` (needed),
`nbf`, `sub` (a desk or a person; needed), `packages` and `titles` (lists; missing: all), `addresses` (networks of the
desk; missing: any), `may` (`play`, `publish`; missing: play). Keys come as a JSON Web Key Set (RFC 7517); putting a new
one in beside the old and taking the old one out later is how they are rotated, with no restart.
"""

from __future__ import annotations

import ipaddress
import json
from dataclasses import dataclass

import jwt

# Clocks of who signs and who checks may differ by so much (s).
CLOCKS_DIFFER = 30
MOST_BYTES = 8 * 1024
# One algorithm a kind of key; a token does not choose how it is checked (RFC 8725, 3.1).
ALGORITHMS = {"oct": "HS256", "OKP": "EdDSA", "EC": "ES256"}
LEAST_SECRET = 32


class PermitDenied(Exception):
    """Why a request may not pass: status, error code of RFC 6750 (empty if nothing was shown), and words."""

    def __init__(self, status: int, error: str, words: str):
        super().__init__(words)
        self.status, self.error = status, error

    @property
    def challenge(self) -> str:
        """The value of WWW-Authenticate."""
        return f'Bearer error="{self.error}", error_description="{self}"' if self.error else "Bearer"


class InvalidKeySet(Exception):
    """What is wrong with a set of keys; the set held before stays in force."""


@dataclass(frozen=True, slots=True)
class Permit:
    """What a checked token allows. `holder` is who it was made for."""

    holder: str
    packages: frozenset[str] | None
    titles: frozenset[str] | None
    networks: tuple
    may: frozenset[str]


def read_keys(raw: bytes) -> dict[str, jwt.PyJWK]:
    """By `kid`. Raises `InvalidKeySet`."""
    try:
        rows = json.loads(raw)["keys"]
        keys = {}
        for number, row in enumerate(rows, 1):
            kind, name = row.get("kty"), row.get("kid")
            if kind not in ALGORITHMS:
                raise InvalidKeySet(f"key {number}: kty is {kind!r}, expected one of {', '.join(ALGORITHMS)}")
            if not name or name in keys:
                raise InvalidKeySet(f"key {number}: kid is {'missing' if not name else 'there twice'}")
            keys[name] = jwt.PyJWK(row, ALGORITHMS[kind])
            if kind == "oct" and len(keys[name].key) < LEAST_SECRET:
                raise InvalidKeySet(f"key {name!r}: a secret of {len(keys[name].key)} bytes, {LEAST_SECRET} are the least")
    except (ValueError, KeyError, TypeError, AttributeError, jwt.PyJWTError) as wrong:
        raise InvalidKeySet(f"this is no JSON Web Key Set: {wrong}") from None
    if not keys:
        raise InvalidKeySet("there is no key in the set")
    return keys


class Permits:
    """The keys in force, and what they let pass. Nothing of a token is kept."""

    def __init__(self, keys: dict[str, jwt.PyJWK]):
        self.keys = keys

    def replace(self, keys: dict[str, jwt.PyJWK]) -> tuple[set[str], set[str]]:
        """Other keys from now on: returns the names that came and those that went."""
        before, self.keys = self.keys, keys
        return keys.keys() - before.keys(), before.keys() - keys.keys()

    def read(self, authorization: str | None, now: int) -> Permit:
        """The permit in an `Authorization` header. `now` is Unix time in ns. Raises `PermitDenied`."""
        if not authorization:
            raise PermitDenied(401, "", "a bearer token is needed")
        scheme, _, token = authorization.partition(" ")
        if scheme.lower() != "bearer" or not token.strip():
            raise PermitDenied(401, "", "a bearer token is needed")
        if len(token) > MOST_BYTES:
            raise PermitDenied(401, "invalid_token", "the token is too long")
        return self._permit(self._claims(token.strip()), now // 1_000_000_000)

    def _claims(self, token: str) -> dict:
        try:
            key = self.keys.get(jwt.get_unverified_header(token).get("kid"))
            if key is None:
                raise PermitDenied(401, "invalid_token", "the token is signed with no key that is in force")
            # times are checked below, by the caller's clock; the signature is compared in constant time
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
        ends, begins, holder = claims.get("exp"), claims.get("nbf", 0), claims.get("sub")
        if not isinstance(ends, (int, float)) or not isinstance(begins, (int, float)):
            raise PermitDenied(401, "invalid_token", "the token has no time at which it ends (exp)")
        if now > ends + CLOCKS_DIFFER:
            raise PermitDenied(401, "invalid_token", "the token has expired")
        if now < begins - CLOCKS_DIFFER:
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
    """Raises `PermitDenied` if the permit is for something else, or for another place."""
    wanted = "publish" if publishes else "play"
    if wanted not in permit.may:
        raise PermitDenied(403, "insufficient_scope", f"the token is not for one who may {wanted}")
    if permit.packages is not None and package not in permit.packages:
        raise PermitDenied(403, "insufficient_scope", "the token is for other packages")
    if permit.titles is not None and title not in permit.titles:
        raise PermitDenied(403, "insufficient_scope", "the token is for other titles")
    if permit.networks and not any(ipaddress.ip_address(address) in network for network in permit.networks):
        raise PermitDenied(403, "insufficient_scope", "the token is for desks at other addresses")
