package frostreel.control;

/** Whether commands that took effect here also outlast this process. */
enum Durability {
    DURABLE,
    /** The disk did not take them; writing them is retried. */
    NOT_DURABLE
}
