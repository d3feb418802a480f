/** Threads that end with the process. */
final class Threads {
    /** A task that may fail; the failure of one connection ends only its thread. */
    interface Task {
        void run() throws Exception;
    }

    private Threads() {}

    static Thread start(Task task) {
        var thread = new Thread(null, () -> {
            try {
                task.run();
            } catch (Exception e) {
                // the connection or the server has been closed
            }
        }, "stand-in", 256 << 10);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
