package org.tanagergap.runtime.tls;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.ClientAuth;
import io.vertx.core.net.PemKeyCertOptions;
import io.vertx.core.net.PemTrustOptions;
import io.vertx.core.net.ServerSSLOptions;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.PrivateKey;
import java.security.cert.X509Certificate;
import java.util.List;
import java.util.Optional;
import org.tanagergap.api.finding.Findings;
import org.tanagergap.api.finding.InvalidInputException;

/**
 * Validated contents of the files in {@link TlsSettings}.
 *
 * @param certificate certificate, followed by intermediate certificates
 * @param key private key
 * @param trust certificate authorities of peers
 */
record TlsMaterial(Buffer certificate, Buffer key, Optional<Buffer> trust) {

    /**
     * Reads and validates the files.
     *
     * @throws InvalidInputException with all findings, if a file is not valid
     */
    static TlsMaterial load(TlsSettings settings) {
        Findings findings = new Findings();
        Optional<Buffer> certificate =
                read(settings.certificate(), TlsSettings.CERTIFICATE_FLAG, findings);
        Optional<Buffer> key = read(settings.key(), TlsSettings.KEY_FLAG, findings);
        Optional<Buffer> trust =
                settings.trust().flatMap(f -> read(f, TlsSettings.TRUST_FLAG, findings));
        trust.ifPresent(pem -> certificates(pem, TlsSettings.TRUST_FLAG, findings));
        Optional<X509Certificate> own =
                certificate
                        .flatMap(pem -> certificates(pem, TlsSettings.CERTIFICATE_FLAG, findings))
                        .map(chain -> chain.get(0));
        if (own.isPresent() && key.isPresent()) {
            checkKey(own.get(), key.get(), findings);
        }
        findings.throwIfAny();
        return new TlsMaterial(certificate.orElseThrow(), key.orElseThrow(), trust);
    }

    PemKeyCertOptions keyOptions() {
        return new PemKeyCertOptions().addCertValue(certificate).addKeyValue(key);
    }

    PemTrustOptions trustOptions() {
        return new PemTrustOptions()
                .addCertValue(
                        trust.orElseThrow(
                                () ->
                                        new IllegalStateException(
                                                "mutual TLS requires a trust file")));
    }

    /** Creates server options; with {@code mutual}, clients must present a certificate. */
    ServerSSLOptions serverOptions(boolean mutual) {
        ServerSSLOptions options = new ServerSSLOptions().setKeyCertOptions(keyOptions());
        options.setUseAlpn(true).setApplicationLayerProtocols(List.of("h2", "http/1.1"));
        if (mutual) {
            options.setClientAuth(ClientAuth.REQUIRED).setTrustOptions(trustOptions());
        }
        return options;
    }

    private static Optional<Buffer> read(Path file, String flag, Findings findings) {
        try {
            return Optional.of(Buffer.buffer(Files.readAllBytes(file)));
        } catch (IOException e) {
            findings.add(flag, "file \"" + file + "\" cannot be read: " + e);
            return Optional.empty();
        }
    }

    private static Optional<List<X509Certificate>> certificates(
            Buffer pem, String flag, Findings findings) {
        try {
            return Optional.of(PemFile.certificates(pem));
        } catch (GeneralSecurityException e) {
            findings.add(flag, "file has no valid PEM certificates: " + e.getMessage());
            return Optional.empty();
        }
    }

    private static void checkKey(X509Certificate certificate, Buffer pem, Findings findings) {
        try {
            PrivateKey key = PemFile.key(pem, certificate.getPublicKey().getAlgorithm());
            if (!PemFile.keyMatches(certificate, key)) {
                findings.add(TlsSettings.KEY_FLAG, "key does not belong to the certificate");
            }
        } catch (GeneralSecurityException e) {
            // The messages of key parsing failures do not contain bytes of the key.
            findings.add(
                    TlsSettings.KEY_FLAG,
                    "file has no valid PEM key for the certificate: " + e.getMessage());
        }
    }
}
