package org.tanagergap.runtime.tls;

import java.nio.file.Path;
import java.util.Objects;
import java.util.Optional;

/**
 * PEM files with the keys and certificates of a program.
 *
 * @param certificate certificate of the program, followed by intermediate certificates
 * @param key private key of the certificate, in PKCS #8
 * @param trust certificates of the authorities of peers; present for mutual TLS
 */
public record TlsSettings(Path certificate, Path key, Optional<Path> trust) {

    static final String CERTIFICATE_FLAG = "--tls-certificate";
    static final String KEY_FLAG = "--tls-key";
    static final String TRUST_FLAG = "--tls-trust";

    public TlsSettings {
        Objects.requireNonNull(certificate, "certificate must not be null");
        Objects.requireNonNull(key, "key must not be null");
        Objects.requireNonNull(trust, "trust must not be null");
    }
}
