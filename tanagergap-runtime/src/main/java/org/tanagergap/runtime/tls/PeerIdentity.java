package org.tanagergap.runtime.tls;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.net.SocketAddress;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.security.cert.CertificateParsingException;
import java.security.cert.X509Certificate;
import java.util.Collection;
import java.util.List;
import javax.net.ssl.SSLPeerUnverifiedException;

/** Checks that the certificate of a client contains the IP address of the client. */
final class PeerIdentity {

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    /** Type of an IP address among subject alternative names (RFC 5280, section 4.2.1.6). */
    private static final int IP_ADDRESS = 7;

    private PeerIdentity() {}

    /** Returns true if the client may call; otherwise logs the reason. */
    static boolean check(HttpServerRequest request) {
        SocketAddress remote = request.remoteAddress();
        try {
            X509Certificate certificate =
                    (X509Certificate) request.sslSession().getPeerCertificates()[0];
            if (containsAddress(certificate, remote.hostAddress())) {
                return true;
            }
            sLogger.atWarning().log(
                    "TLS client %s refused: its certificate %s does not have this IP address as a"
                            + " subject alternative name",
                    remote, certificate.getSubjectX500Principal());
        } catch (SSLPeerUnverifiedException | CertificateParsingException e) {
            sLogger.atWarning().withCause(e).log(
                    "TLS client %s refused: its certificate could not be verified", remote);
        }
        return false;
    }

    static boolean containsAddress(X509Certificate certificate, String address)
            throws CertificateParsingException {
        Collection<List<?>> names = certificate.getSubjectAlternativeNames();
        return names != null
                && names.stream()
                        .filter(name -> name.get(0).equals(IP_ADDRESS))
                        .anyMatch(name -> sameAddress(name.get(1).toString(), address));
    }

    /** Compares parsed addresses, because IPv6 has several notations for one address. */
    private static boolean sameAddress(String first, String second) {
        try {
            return InetAddress.getByName(first).equals(InetAddress.getByName(second));
        } catch (UnknownHostException e) {
            return false;
        }
    }
}
