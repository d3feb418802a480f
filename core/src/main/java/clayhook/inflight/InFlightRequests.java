package clayhook.inflight;

import clayhook.Attempt;
import clayhook.AttemptResult;
import clayhook.Decision;
import clayhook.Decision.RoutingAction;
import clayhook.Request;
import clayhook.RoutingPolicy;
import clayhook.TickResult;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * The table of requests in flight, and the time at which the {@link RoutingPolicy} is asked about them again. It
 * decides nothing itself: it passes events to the policy, collects the decisions until {@link #tick}, and forgets a
 * request once it is completed and no attempt is outstanding. It holds one request a client that waits, and completed
 * ones until their last attempt ends, at its timeout at the latest. Not thread-safe: confined to the event loop. Times
 * are clock times in seconds.
 */
public final class InFlightRequests {
    /** More than the rounding error of a double that holds seconds since 1970. */
    private static final double CLOCK_ROUNDING_SECONDS = 1e-6;

    /** A decision of the policy on a request, to be carried out. */
    public record RoutedRequest(Request request, Decision decision) {}

    /**
     * What is to be carried out now.
     *
     * @param routedRequests the decisions since the last batch, in the order in which they were made
     * @param tickResult what else the policy wants done now
     * @param wakeAfterSeconds when {@link #tick} is to be called again; 0 if an earlier batch already asked for that in
     *     time
     */
    public record DecisionBatch(List<RoutedRequest> routedRequests, TickResult tickResult, double wakeAfterSeconds) {}

    private final RoutingPolicy policy;
    private final Set<Request> requests = new LinkedHashSet<>();
    private final Consumer<RuntimeException> faultHandler;
    private List<RoutedRequest> routedRequests = new ArrayList<>();
    /** No outstanding attempt times out earlier. */
    private double earliestTimeoutAt = Double.POSITIVE_INFINITY;

    private double nextTickAt = Double.POSITIVE_INFINITY;

    /**
     * Creates an empty table.
     *
     * @param faultHandler is told of exceptions of the policy; if it returns, the request concerned is failed
     */
    public InFlightRequests(RoutingPolicy policy, Consumer<RuntimeException> faultHandler) {
        this.policy = policy;
        this.faultHandler = faultHandler;
    }

    /** Adds a request that has arrived and routes it. */
    public void admit(Request request, double now) {
        requests.add(request);
        decide(request, () -> policy.route(request, now));
    }

    /** Adds a request that arrived when nothing is sent any more: it is rejected or failed at once. */
    public void rejectOrFail(Request request) {
        requests.add(request);
        decide(request, () -> policy.rejectOrFail(request));
    }

    /** Takes the result of an attempt; {@code completed} tells that it gave the request its final answer. */
    public void onAttemptFinished(Attempt attempt, AttemptResult result, boolean completed, double now) {
        Request request = attempt.request;
        request.completed |= completed;
        decide(request, () -> policy.onAttemptFinished(attempt, result, request.completed, now));
    }

    /** The client has gone: the request needs no answer any more. */
    public void onClientGone(Request request) {
        request.completed = true;
        removeIfSettled(request);
    }

    /** Returns the outstanding attempts of a request that needs no answer any more, if they may be cancelled. */
    public List<Attempt> cancellableAttempts(Request request) {
        return policy.rejectOrFail(request).attemptsToCancel();
    }

    /** Rejects or fails all requests that are not completed. */
    public void rejectOrFailAll() {
        for (Request request : List.copyOf(requests)) {
            if (!request.completed) {
                decide(request, () -> policy.rejectOrFail(request));
            }
        }
    }

    /** Returns the outstanding attempts whose time limit has passed. */
    public List<Attempt> timedOutAttempts(double now) {
        if (now < earliestTimeoutAt) {
            return List.of();
        }
        var timedOut = new ArrayList<Attempt>();
        earliestTimeoutAt = Double.POSITIVE_INFINITY;
        for (Request request : requests) {
            for (Attempt attempt : request.attempts) {
                if (attempt.outcome == null && now >= attempt.timeoutAt) {
                    timedOut.add(attempt);
                } else if (attempt.outcome == null) {
                    earliestTimeoutAt = Math.min(earliestTimeoutAt, attempt.timeoutAt);
                }
            }
        }
        return timedOut;
    }

    /**
     * Routes all requests that are not completed again, if it is time, and returns all decisions since the last call.
     */
    public DecisionBatch tick(double now) {
        if (now >= nextTickAt - CLOCK_ROUNDING_SECONDS) {
            nextTickAt = Double.POSITIVE_INFINITY;
            routeAll(now);
        }
        TickResult tickResult = policy.tick(now);
        boolean sooner = now + tickResult.nextTickSeconds() < nextTickAt;
        nextTickAt = sooner ? now + tickResult.nextTickSeconds() : nextTickAt;
        var batch = new DecisionBatch(routedRequests, tickResult, sooner ? tickResult.nextTickSeconds() : 0);
        routedRequests = new ArrayList<>();
        return batch;
    }

    private void routeAll(double now) {
        for (Request request : List.copyOf(requests)) {
            if (!request.completed) {
                decide(request, () -> policy.route(request, now));
            }
        }
    }

    /** Returns the time until requests are routed again; a clock that was corrected may reach it late. */
    public double secondsUntilNextTick(double now) {
        return Math.max(0, nextTickAt - now);
    }

    /** Returns how many requests wait or have attempts outstanding. */
    public int size() {
        return requests.size();
    }

    private void decide(Request request, Supplier<Decision> policyCall) {
        Decision decision;
        try {
            decision = policyCall.get();
        } catch (RuntimeException e) {
            faultHandler.accept(e);
            decision = new Decision(RoutingAction.FAIL, null, 0, List.of());
        }
        if (decision.action() == RoutingAction.SEND) {
            request.attempts.add(decision.attempt());
            earliestTimeoutAt = Math.min(earliestTimeoutAt, decision.attempt().timeoutAt);
        } else if (decision.action() == RoutingAction.REJECT || decision.action() == RoutingAction.FAIL) {
            request.completed = true;
        }
        if (decision.action() != RoutingAction.WAIT) {
            routedRequests.add(new RoutedRequest(request, decision));
        }
        removeIfSettled(request);
    }

    private void removeIfSettled(Request request) {
        if (request.isRemovable()) {
            requests.remove(request);
        }
    }
}
