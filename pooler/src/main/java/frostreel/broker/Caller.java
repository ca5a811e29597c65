package frostreel.broker;

/** The side that handed in a request; exactly one of these is called, once, unless it went away before. */
public interface Caller {
    /** {@code answer}: as the back end gave it for this request. */
    void served(byte[] answer);

    /** Trying again is harmless; {@code adviceUs} is when to come back, 0 for no advice. */
    void refused(long adviceUs);

    void failed();
}
