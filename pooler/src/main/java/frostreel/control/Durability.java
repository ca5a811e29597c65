package frostreel.control;

/** Whether commands that took effect in this process are also stored, so that they outlast it. */
enum Durability {
    DURABLE,
    /** Writing them failed, and is retried. */
    NOT_DURABLE
}
