package clayhook.serve;

import java.lang.reflect.Proxy;

/**
 * Handles SIGHUP, which requests a reload of the configuration. Without a handler, SIGHUP ends the process.
 * Thread-safe.
 */
public final class ReloadSignal {
    private ReloadSignal() {}

    /**
     * Runs {@code handler} on each SIGHUP, on a thread of the Java runtime. Uses reflection because the compiler warns
     * about {@code sun.misc.Signal}, and this build treats warnings as errors.
     */
    public static void install(Runnable handler) throws ReflectiveOperationException {
        Class<?> signalClass = Class.forName("sun.misc.Signal");
        Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
        Object proxy = Proxy.newProxyInstance(
                handlerClass.getClassLoader(), new Class<?>[] {handlerClass}, (self, method, arguments) -> {
                    if (method.getName().equals("handle")) {
                        handler.run();
                    }
                    return null;
                });
        signalClass
                .getMethod("handle", signalClass, handlerClass)
                .invoke(null, signalClass.getConstructor(String.class).newInstance("HUP"), proxy);
    }
}
