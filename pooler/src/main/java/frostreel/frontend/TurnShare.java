package frostreel.frontend;

import frostreel.time.Clock;

/**
 * How much of one turn of the event loop a connection may use to process messages. Both the number and the time are
 * limited, as short messages cost little each and long ones, or status pages, much. Used on the I/O thread.
 */
final class TurnShare {
    /** More than usual clients send at once. */
    static final int MAX_MESSAGES = 16;

    static final long MAX_TIME_US = 250;

    private final Clock clock;
    private long startedUs;
    private int messages;

    TurnShare(Clock clock) {
        this.clock = clock;
    }

    /** Begins a new turn. */
    void begin() {
        startedUs = clock.now();
        messages = 0;
    }

    /** Counts a message. */
    void onMessage() {
        messages++;
    }

    /** Whether a message was processed in this turn. */
    boolean isUsed() {
        return messages > 0;
    }

    /** Whether the next message has to wait for a later turn; never before the first. */
    boolean isExhausted() {
        return messages >= MAX_MESSAGES || (isUsed() && clock.now() - startedUs > MAX_TIME_US);
    }
}
