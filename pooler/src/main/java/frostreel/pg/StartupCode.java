package frostreel.pg;

/** Codes that begin a client's first messages, and the response to an encryption request. */
public final class StartupCode {
    /** Protocol version 3.0: the major version in the upper 16 bits, the minor version in the lower. */
    public static final int PROTOCOL_3_0 = 3 << 16;

    public static final int CANCEL_REQUEST = 80877102;
    public static final int SSL_REQUEST = 80877103;
    public static final int GSSENC_REQUEST = 80877104;

    /** Response to an encryption request that is not supported: a single byte without a header. */
    public static final byte ENCRYPTION_NOT_SUPPORTED = 'N';

    private StartupCode() {}

    /** Whether the client requests encryption before its startup message. */
    public static boolean requestsEncryption(int code) {
        return code == SSL_REQUEST || code == GSSENC_REQUEST;
    }

    /** Whether the code is protocol version 3, with any minor version. */
    public static boolean isProtocol3(int code) {
        return code >> 16 == PROTOCOL_3_0 >> 16;
    }
}
