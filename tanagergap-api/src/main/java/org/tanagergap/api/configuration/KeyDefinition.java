package org.tanagergap.api.configuration;

/**
 * Bearer key, stored as a salted hash. The key's text form is {@code <id>.<secret>}.
 *
 * @param id public part of the key, unique in the document
 * @param salt random salt, hexadecimal
 * @param hash SHA-256 of the salt's bytes followed by the secret's UTF-8 bytes, hexadecimal
 */
public record KeyDefinition(String id, String salt, String hash) {}
