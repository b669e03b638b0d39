package org.tanagergap.testing;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/**
 * Keys and certificates for TLS tests, valid until 2046. {@code process} and {@code renewed} have
 * the subject alternative name 127.0.0.1, {@code elsewhere} has 127.0.0.2; all three are issued by
 * the authority {@code first}. {@code stranger} has 127.0.0.1 and is issued by the authority {@code
 * second}.
 *
 * @param directory directory into which the files are copied
 */
public record TestKeys(Path directory) {

    /** Copies the certificate and key of an identity and the certificate of a trusted authority. */
    public TestKeys use(String identity, String authority) {
        copy(identity + ".pem", certificate());
        copy(identity + "-key.pem", key());
        copy(authority + "-authority.pem", trust());
        return this;
    }

    public Path certificate() {
        return directory.resolve("certificate.pem");
    }

    public Path key() {
        return directory.resolve("key.pem");
    }

    public Path trust() {
        return directory.resolve("trust.pem");
    }

    private static void copy(String resource, Path target) {
        try (InputStream stream = TestKeys.class.getResourceAsStream("tls/" + resource)) {
            Files.copy(stream, target, StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
