package frostreel.control;

import frostreel.operation.ReadinessStatus;

/** The responses of the admin protocol. */
enum AdminResponse {
    DONE(true, "OK"),
    /** The command is in force in this process, but not stored yet: a successor process would not find it. */
    DONE_NOT_DURABLE(true, "OK but cannot be kept for a successor"),
    STARTING(false, "ERR starting"),
    DRAINING(false, "ERR emptied"),
    STOPPING(false, "ERR stopping"),
    UNKNOWN_SERVER(false, "ERR no server has that id"),
    UNKNOWN_COMMAND(false, "ERR no such call: STATUS, SUSPEND ID, RESTORE ID, PAUSE, RESUME"),
    LINE_TOO_LONG(false, "ERR a line of more than " + AdminConnection.MAX_LINE_BYTES + " bytes");

    private final boolean success;
    private final String line;

    AdminResponse(boolean success, String line) {
        this.success = success;
        this.line = line;
    }

    /** Whether the response reports success: the command was executed or, for STATUS, the process is ready. */
    boolean isSuccess() {
        return success;
    }

    /** The response line as it is sent, without its line feed. */
    String line() {
        return line;
    }

    /** Returns the response to {@link AdminRequest.Verb#STATUS}. */
    static AdminResponse of(ReadinessStatus status) {
        return switch (status) {
            case READY -> DONE;
            case STARTING -> STARTING;
            case DRAINING -> DRAINING;
            case STOPPING -> STOPPING;
        };
    }
}
