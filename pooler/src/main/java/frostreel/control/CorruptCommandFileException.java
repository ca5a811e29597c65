package frostreel.control;

import java.io.IOException;

/** A file of commands that is not as any process wrote it, or is of another version: reading again is useless. */
final class CorruptCommandFileException extends IOException {
    private static final long serialVersionUID = 1;

    CorruptCommandFileException(String reason) {
        super(reason);
    }

    CorruptCommandFileException(String reason, Throwable cause) {
        super(reason, cause);
    }
}
