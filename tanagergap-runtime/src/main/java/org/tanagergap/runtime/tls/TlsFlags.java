package org.tanagergap.runtime.tls;

import com.github.rvesse.airline.annotations.Option;
import java.nio.file.Path;
import java.util.Optional;
import org.tanagergap.api.finding.Finding;
import org.tanagergap.api.finding.InvalidInputException;
import org.tanagergap.runtime.settings.SettingsReader;

/** Flags of programs that use TLS; without them all connections are unencrypted. */
public final class TlsFlags {

    @Option(
            name = TlsSettings.CERTIFICATE_FLAG,
            title = "file",
            description = "PEM file with the certificate of this process; turns TLS on")
    String mCertificate;

    @Option(
            name = TlsSettings.KEY_FLAG,
            title = "file",
            description = "PEM file with the private key of the certificate, in PKCS #8")
    String mKey;

    @Option(
            name = TlsSettings.TRUST_FLAG,
            title = "file",
            description = "PEM file with the authorities whose certificates peers must have")
    String mTrust;

    /** Reads the settings of a program whose server does not check client certificates. */
    public Optional<TlsSettings> readServer(SettingsReader reader) {
        if (reader.optionalText(TlsSettings.TRUST_FLAG, mTrust).isPresent()) {
            reader.reject(
                    TlsSettings.TRUST_FLAG, "is not used; this program checks no certificates");
        }
        return read(reader, Optional.empty());
    }

    /** Reads the settings of a program that uses mutual TLS with its peers. */
    public Optional<TlsSettings> readMutual(SettingsReader reader) {
        Optional<String> trust = reader.optionalText(TlsSettings.TRUST_FLAG, mTrust);
        boolean certificate =
                reader.optionalText(TlsSettings.CERTIFICATE_FLAG, mCertificate).isPresent();
        if (certificate != trust.isPresent()) {
            reader.reject(
                    certificate ? TlsSettings.TRUST_FLAG : TlsSettings.CERTIFICATE_FLAG,
                    "is required; peers are called and accepted with both or neither of "
                            + TlsSettings.CERTIFICATE_FLAG
                            + " and "
                            + TlsSettings.TRUST_FLAG);
        }
        return read(reader, trust.map(Path::of));
    }

    private Optional<TlsSettings> read(SettingsReader reader, Optional<Path> trust) {
        Optional<String> certificate =
                reader.optionalText(TlsSettings.CERTIFICATE_FLAG, mCertificate);
        Optional<String> key = reader.optionalText(TlsSettings.KEY_FLAG, mKey);
        if (certificate.isPresent() != key.isPresent()) {
            reader.reject(
                    key.isPresent() ? TlsSettings.CERTIFICATE_FLAG : TlsSettings.KEY_FLAG,
                    "is required; the certificate and the key are given together");
        }
        if (certificate.isEmpty() || key.isEmpty()) {
            return Optional.empty();
        }
        TlsSettings settings =
                new TlsSettings(Path.of(certificate.get()), Path.of(key.get()), trust);
        try {
            TlsMaterial.load(settings);
        } catch (InvalidInputException e) {
            for (Finding finding : e.findings()) {
                reader.reject(finding.location(), finding.message());
            }
        }
        return Optional.of(settings);
    }
}
