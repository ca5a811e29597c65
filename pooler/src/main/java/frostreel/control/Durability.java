package frostreel.control;

/** Whether commands that are in force in this process are also stored, so that they survive its end. */
enum Durability {
    DURABLE,
    /** The write failed and will be retried. */
    NOT_DURABLE
}
