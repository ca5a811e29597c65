package frostreel.cli;

import java.lang.reflect.Proxy;

/**
 * Runs a task at each SIGHUP, on a thread that the JVM starts for the signal. Without a handler, SIGHUP would end the
 * JVM. The JDK's signal class is used by reflection, as the compiler warns about direct use and warnings fail the
 * build.
 */
final class SighupHandler {
    private SighupHandler() {}

    /**
     * Installs the handler and returns whether the signal will be received: a process that was started with SIGHUP
     * ignored, for example by nohup, never receives it.
     */
    static boolean handle(Runnable task) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object handlerProxy = Proxy.newProxyInstance(
                    SighupHandler.class.getClassLoader(), new Class<?>[] {handler}, (proxy, method, args) -> {
                        task.run();
                        return null;
                    });
            Object previous = signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), handlerProxy);
            return previous != handler.getField("SIG_IGN").get(null);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("cannot install a SIGHUP handler on this JVM", e);
        }
    }
}
