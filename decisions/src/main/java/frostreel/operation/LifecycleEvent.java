package frostreel.operation;

/** What can happen to this process, see {@link LifecycleState}. */
enum LifecycleEvent {
    /** Servers are known, commands are restored and sockets are open: serving may begin. */
    READY,
    /** Operators ask clients to leave. */
    PAUSE,
    /** Operators let clients stay again. */
    RESUME,
    /** SIGTERM arrived, and there is no successor. */
    STOP,
    /** SIGTERM arrived, and a successor accepts from the same socket. */
    HAND_OVER
}
