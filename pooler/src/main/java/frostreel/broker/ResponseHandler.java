package frostreel.broker;

/** The side that handed in a request; it has exactly one answer, once, unless it went away before. */
public interface ResponseHandler {
    /** {@code answer}: as the back end gave it for this request. */
    void served(byte[] answer);

    /** Trying again is harmless; {@code retryAfterUs} is when to come back, 0 for no advice. */
    void refused(long retryAfterUs);

    void failed();

    /** Its own side has withdrawn the request. */
    void cancelled();

    /** Whether the other side is still there, as far as can be seen by looking now. */
    boolean waits();

    /** A long answer begins: in pieces, then {@link #served} has the rest, or it is {@link #broken}. */
    default BackEnd.ResponseStream begins(BackEnd.ResponseSource from) {
        throw new IllegalStateException("no long answers are taken here");
    }

    /** The answer that began ends here, unfinished; the other side must be able to tell. */
    default void broken() {}
}
