package frostreel.operation;

/** Events that change the {@link LifecycleState}. */
enum LifecycleEvent {
    /** Startup is complete: servers are known, commands are restored and sockets are open. */
    READY,
    /** Operators ask clients to disconnect. */
    PAUSE,
    /** Operators admit clients again. */
    RESUME,
    /** SIGTERM arrived, and there is no successor process. */
    STOP,
    /** SIGTERM arrived, and a successor process accepts connections on the same socket. */
    HAND_OVER
}
