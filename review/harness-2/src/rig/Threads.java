package rig;

/** Starts daemon threads whose connections may end at any time. */
public final class Threads {
    /** A task that may fail because a connection or the run has ended. */
    public interface Task {
        void run() throws Exception;
    }

    private Threads() {}

    public static Thread start(String name, Task task) {
        var thread = new Thread(
                () -> {
                    try {
                        task.run();
                    } catch (java.io.IOException | InterruptedException e) {
                        // the connection or the run has ended
                    } catch (Exception e) {
                        e.printStackTrace();
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
