package frostreel.config;

import frostreel.wire.MalformedMessageException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/**
 * Parses {@code address:port} without name resolution, which would block the I/O thread when it reads endpoint
 * lists.
 */
final class NumericAddress {
    private static final int IPV4_BYTES = 4;
    private static final int MAX_OCTET = 255;
    private static final int MAX_PORT = 65_535;

    private NumericAddress() {}

    /**
     * Parses the value of a field.
     *
     * @throws MalformedMessageException naming the field, if the host is not a numeric address or the port is out of
     *     range
     */
    static InetSocketAddress parse(String text, String field) throws MalformedMessageException {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (colon > 0 && port >= 0 && port <= MAX_PORT) {
                return new InetSocketAddress(parseHost(text.substring(0, colon)), port);
            }
        } catch (NumberFormatException | UnknownHostException e) {
            // Reported below, like a port out of range.
        }
        throw new MalformedMessageException("field '" + field + "' is not a numeric address:port");
    }

    /** Parses four decimal octets, or an IPv6 literal, which the JDK parses without a lookup if it is in brackets. */
    private static InetAddress parseHost(String text) throws UnknownHostException {
        if (text.indexOf(':') >= 0) {
            return InetAddress.getByName(text.startsWith("[") ? text : "[" + text + "]");
        }
        String[] parts = text.split("\\.", -1);
        byte[] octets = new byte[IPV4_BYTES];
        if (parts.length != IPV4_BYTES) {
            throw new UnknownHostException(text);
        }
        for (int i = 0; i < IPV4_BYTES; i++) {
            int octet = Integer.parseInt(parts[i]);
            if (octet < 0 || octet > MAX_OCTET) {
                throw new UnknownHostException(text);
            }
            octets[i] = (byte) octet;
        }
        return InetAddress.getByAddress(octets);
    }
}
