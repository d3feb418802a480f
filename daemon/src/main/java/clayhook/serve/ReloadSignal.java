package clayhook.serve;

import java.lang.reflect.Proxy;

/** SIGHUP, which asks for the configuration to be read again; by default the runtime ends the process on it. */
public final class ReloadSignal {
    private ReloadSignal() {}

    /** Runs that at each SIGHUP, on a thread of the runtime's. By reflection, as the compiler warns of the type. */
    public static void install(Runnable handler) throws ReflectiveOperationException {
        Class<?> signal = Class.forName("sun.misc.Signal");
        Class<?> handles = Class.forName("sun.misc.SignalHandler");
        Object proxy =
                Proxy.newProxyInstance(handles.getClassLoader(), new Class<?>[] {handles}, (self, method, values) -> {
                    if (method.getName().equals("handle")) {
                        handler.run();
                    }
                    return null;
                });
        signal.getMethod("handle", signal, handles)
                .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), proxy);
    }
}
