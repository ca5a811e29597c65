package frostreel.pg;

/** The codes with which a startup message begins: a version of the protocol, or a request in place of one. */
public final class StartupCode {
    /** Version 3.0 of the protocol: the major version in the upper half, the minor one in the lower. */
    public static final int PROTOCOL_3_0 = 3 << 16;

    public static final int CANCEL_REQUEST = 80877102;
    public static final int SSL_REQUEST = 80877103;
    public static final int GSSENC_REQUEST = 80877104;

    /** The response, one byte without a header, to a request for encryption that is not supported. */
    public static final byte ENCRYPTION_NOT_SUPPORTED = 'N';

    private StartupCode() {}

    /** Whether a client asks for encryption before its actual startup message. */
    public static boolean requestsEncryption(int code) {
        return code == SSL_REQUEST || code == GSSENC_REQUEST;
    }

    /** Whether the code is a version of the protocol that is spoken here, of whichever minor version. */
    public static boolean isProtocol3(int code) {
        return code >> 16 == PROTOCOL_3_0 >> 16;
    }
}
