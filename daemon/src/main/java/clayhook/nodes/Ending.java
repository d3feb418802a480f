package clayhook.nodes;

import clayhook.Outcome;

/** How an attempt ended. */
sealed interface Ending {
    Outcome outcome();

    /** The node's answer is whole. */
    record Answered() implements Ending {
        @Override
        public Outcome outcome() {
            return Outcome.ANSWERED;
        }
    }

    /** The node answered with an error; before a connection stands, it turns the connection away. */
    record Refused(String code) implements Ending {
        @Override
        public Outcome outcome() {
            return switch (code) {
                case "25006", "72000" -> Outcome.TURNED_AWAY;
                case "53300" -> Outcome.FULL;
                default -> Outcome.ERROR;
            };
        }
    }

    /** What came cannot be understood; the node works, and the command may have run. */
    record Spoilt() implements Ending {
        @Override
        public Outcome outcome() {
            return Outcome.ERROR;
        }
    }

    /** The connection was refused, broke or ended. */
    record Broken(Stage stage) implements Ending {
        @Override
        public Outcome outcome() {
            return stage.mayHaveRun() ? Outcome.RESET : Outcome.CONNECT_FAILED;
        }
    }

    /** The time to wait is over. */
    record Silent(Stage stage) implements Ending {
        @Override
        public Outcome outcome() {
            return stage.mayHaveRun() ? Outcome.TIMED_OUT : Outcome.CONNECT_FAILED;
        }
    }

    /** It is wanted no longer, or may not go out any more. */
    record CalledOff(Stage stage) implements Ending {
        @Override
        public Outcome outcome() {
            return stage.mayHaveRun() ? Outcome.CANCELLED : Outcome.NOT_SENT;
        }
    }
}
