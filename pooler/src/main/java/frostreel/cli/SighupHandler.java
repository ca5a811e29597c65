package frostreel.cli;

import java.lang.reflect.Proxy;

/**
 * Runs a task at each SIGHUP, on a thread of the signal's own; without it the JVM ends at the first. The
 * JDK's one class for this is reached by reflection: the compiler warns of its use, and a warning ends the
 * build.
 */
final class SighupHandler {
    private SighupHandler() {}

    /**
     * Whether the signal will come: a process that was started with it ignored, as by nohup, never gets it,
     * and the JVM leaves that as it is.
     */
    static boolean handle(Runnable task) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object own = Proxy.newProxyInstance(
                    SighupHandler.class.getClassLoader(), new Class<?>[] {handler}, (proxy, method, args) -> {
                        task.run();
                        return null;
                    });
            Object before = signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), own);
            return before != handler.getField("SIG_IGN").get(null);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("SIGHUP cannot be handled here", e);
        }
    }
}
