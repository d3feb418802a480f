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
 * The requests in flight and the time at which the {@link RoutingPolicy} routes them again. This class makes no routing
 * decisions: it passes events to the policy, collects the decisions until {@link #tick}, and removes a request once it
 * is completed and has no outstanding attempt. It holds one request per waiting client, and completed requests until
 * their last attempt ends, at its timeout at the latest. Times are clock times in seconds. Not thread-safe: confined to
 * the event loop.
 */
public final class InFlightRequests {
    /** An upper bound of the rounding error of seconds since 1970 in a double. */
    private static final double CLOCK_ROUNDING_SECONDS = 1e-6;

    /** A decision of the policy on a request, to be carried out. */
    public record RoutedRequest(Request request, Decision decision) {}

    /**
     * The decisions and other actions to be carried out now.
     *
     * @param routedRequests the decisions since the last batch, in the order in which they were made
     * @param tickResult the other actions that are due
     * @param wakeAfterSeconds the time until {@link #tick} must be called again; 0 if an earlier batch already
     *     requested a call that is early enough
     */
    public record DecisionBatch(List<RoutedRequest> routedRequests, TickResult tickResult, double wakeAfterSeconds) {}

    private final RoutingPolicy policy;
    private final Set<Request> requests = new LinkedHashSet<>();
    private final Consumer<RuntimeException> exceptionHandler;
    private List<RoutedRequest> routedRequests = new ArrayList<>();
    /** A lower bound of the timeouts of all outstanding attempts. */
    private double earliestTimeoutAt = Double.POSITIVE_INFINITY;

    private double nextTickAt = Double.POSITIVE_INFINITY;

    /**
     * Creates an empty table.
     *
     * @param exceptionHandler receives the exceptions that the policy throws; if it returns, the affected request fails
     */
    public InFlightRequests(RoutingPolicy policy, Consumer<RuntimeException> exceptionHandler) {
        this.policy = policy;
        this.exceptionHandler = exceptionHandler;
    }

    /** Adds an arriving request and routes it. */
    public void admit(Request request, double now) {
        requests.add(request);
        applyDecision(request, () -> policy.route(request, now));
    }

    /** Adds a request that arrives after routing has stopped, and rejects or fails it at once. */
    public void rejectOrFail(Request request) {
        requests.add(request);
        applyDecision(request, () -> policy.rejectOrFail(request));
    }

    /** Processes the result of an attempt; {@code completed} says whether it gave the request its final answer. */
    public void onAttemptFinished(Attempt attempt, AttemptResult result, boolean completed, double now) {
        Request request = attempt.request;
        request.completed |= completed;
        applyDecision(request, () -> policy.onAttemptFinished(attempt, result, request.completed, now));
    }

    /** Marks a request as completed because its client has gone and needs no answer. */
    public void onClientGone(Request request) {
        request.completed = true;
        removeIfPossible(request);
    }

    /** Returns the outstanding attempts of a request that needs no answer, or none if they may not be cancelled. */
    public List<Attempt> cancellableAttempts(Request request) {
        return policy.rejectOrFail(request).attemptsToCancel();
    }

    /** Rejects or fails all requests that are not completed. */
    public void rejectOrFailAll() {
        for (Request request : List.copyOf(requests)) {
            if (!request.completed) {
                applyDecision(request, () -> policy.rejectOrFail(request));
            }
        }
    }

    /** Returns the outstanding attempts whose timeout has passed. */
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

    /** Routes all unfinished requests again if that is due, and returns all decisions since the last call. */
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
                applyDecision(request, () -> policy.route(request, now));
            }
        }
    }

    /** Returns the time until requests are routed again, which is longer if the clock was set back meanwhile. */
    public double secondsUntilNextTick(double now) {
        return Math.max(0, nextTickAt - now);
    }

    /** Returns the number of requests that are waiting or have outstanding attempts. */
    public int size() {
        return requests.size();
    }

    /** Calls the policy and records its decision on the request; fails the request if the policy throws. */
    private void applyDecision(Request request, Supplier<Decision> policyCall) {
        Decision decision;
        try {
            decision = policyCall.get();
        } catch (RuntimeException e) {
            exceptionHandler.accept(e);
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
        removeIfPossible(request);
    }

    private void removeIfPossible(Request request) {
        if (request.isRemovable()) {
            requests.remove(request);
        }
    }
}
