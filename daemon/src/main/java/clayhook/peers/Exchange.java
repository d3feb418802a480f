package clayhook.peers;

import clayhook.Endpoint;
import clayhook.PeerObservation;
import clayhook.discovery.EndpointList;
import clayhook.fleet.Kind;
import clayhook.fleet.Machine;
import clayhook.fleet.Outbox;
import clayhook.fleet.Part;
import clayhook.fleet.Peer;
import clayhook.fleet.Reader;
import clayhook.fleet.Roster;
import clayhook.fleet.Shared;
import clayhook.fleet.kinds.Evidence;
import clayhook.fleet.kinds.Fate;
import clayhook.fleet.kinds.Fates;
import clayhook.fleet.kinds.Hearsay;
import clayhook.fleet.kinds.ListMerge;
import clayhook.fleet.kinds.Listed;
import clayhook.fleet.kinds.Mark;
import clayhook.fleet.kinds.SessionNeeds;
import clayhook.fleet.kinds.Shares;
import clayhook.fleet.kinds.Use;
import clayhook.log.Log;
import clayhook.serve.PeerSharing;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Executor;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Puts what this router's loop tells into what routers share, and takes from there what the loop is to know. On the
 * peers' thread, but for {@link #need} and {@link #left}.
 */
public final class Exchange implements Machine {
    /**
     * Seconds between two snapshots of marks, and two puttings in: short beside the time in which a session comes to
     * another router. Guards against a session that writes all the time, whose marks would come in faster than news of
     * them goes round.
     */
    private static final double PUBLISH = 0.05;
    /** Seconds between two reckonings of shares, and looks at what is to be put in again. */
    private static final double SELDOM = 0.25;
    /** Bytes and characters; a longer id is cut in a key, so that nobody could tell which node is meant. */
    private static final int LONGEST_ID = 100;
    /** What a hundred routers may store in all, as one alone may; and the time over which that counts, in seconds. */
    private static final double REPEATS = 90, PROBES = 15, WINDOW = 10;

    /** What this router's copy holds; each is null where the operator has turned it off. */
    public record Kinds(boolean evidence, boolean lists, boolean marks, Kind<Fate> fates, boolean limits) {
        public List<Kind<?>> all() {
            var kinds = new ArrayList<Kind<?>>();
            if (evidence) {
                kinds.add(Evidence.KIND);
            }
            if (lists) {
                kinds.add(Listed.KIND);
            }
            if (marks) {
                kinds.add(Mark.KIND);
            }
            if (fates != null) {
                kinds.add(fates);
            }
            if (limits) {
                kinds.add(Use.KIND);
            }
            return kinds;
        }
    }

    /** A node that this router's list has. */
    private record Known(String id, double startedAt) {}

    private final Shared shared;
    private final Roster roster;
    private final Kinds kinds;
    private final Mailbox<String, PeerObservation> evidence;
    private final Mailbox<String, EndpointList> changes;
    // null where that kind is off
    private Looks looks;
    private Hearsay hearsay;
    private ListMerge lists;
    private SessionNeeds needs;
    private Doubts doubts;
    private Fates fates;
    private Shares shares;
    private final Map<PeerSharing.SharedQuota, Shares.Limit> limits = new EnumMap<>(PeerSharing.SharedQuota.class);
    private final Map<String, Known> nodes = new HashMap<>();
    /** Keys of nodes on which others have put in something; emptied each turn. */
    private final Set<String> changed = new LinkedHashSet<>();
    /** Marks of this router's own writes; emptied with each snapshot, before which there are few. */
    private final Map<String, Mark> marks = new LinkedHashMap<>();
    /** What this router itself puts in is no news to it. */
    private boolean putting;

    private double publishAt, seldomAt;
    /** A list came that could not be told whole, or a value that cannot be. */
    private long senseless;

    private volatile Map<PeerSharing.SharedQuota, Double> left = Map.of();

    public Exchange(
            Kinds kinds,
            double roam,
            int routers,
            String source,
            Shared shared,
            Roster roster,
            SplittableRandom chance,
            Executor loop,
            PeerSharing.PeerListener listener) {
        this.kinds = kinds;
        this.shared = shared;
        this.roster = roster;
        evidence = new Mailbox<>(loop, listener::onPeerUpdate);
        changes = new Mailbox<>(loop, news -> listener.onPeerUpdate(news.values()));
        if (kinds.evidence()) {
            looks = new Looks(roster, chance);
            hearsay = new Hearsay(shared, roster);
            shared.listen(Evidence.KIND, (key, value, now) -> {
                if (!putting) {
                    changed.add(key);
                }
            });
        }
        lists = kinds.lists() ? new ListMerge(source, shared) : null;
        needs = kinds.marks() ? new SessionNeeds(shared, roam) : null;
        if (kinds.fates() != null) {
            doubts = new Doubts(shared, kinds.fates());
            fates = new Fates(shared, kinds.fates());
        }
        if (kinds.limits()) {
            shares = new Shares(shared, roster, routers);
            limits.put(PeerSharing.SharedQuota.FURTHER_ATTEMPTS, new Shares.Limit(Use.REPEATS, REPEATS, WINDOW));
            limits.put(PeerSharing.SharedQuota.HEALTH_CHECKS, new Shares.Limit(Use.PROBES, PROBES * routers, WINDOW));
        }
    }

    // ---- from the loop ----

    /** Takes what the loop tells; what no value may hold is counted and dropped. */
    public void take(News news, double now) {
        try {
            carry(news, now);
        } catch (IllegalArgumentException e) {
            senseless++; // an id or a time that no value may have
        }
    }

    private void carry(News news, double now) {
        if (news instanceof News.Looked looked) {
            if (looks != null) {
                looks.saw(Evidence.key(looked.node().id()), looked.reply(), looked.at());
            }
        } else if (news instanceof News.Listed listed) {
            listed(listed.source(), listed.list(), now);
        } else if (news instanceof News.Moved moved) {
            if (lists != null) {
                lists.moved(moved.source());
            }
        } else if (news instanceof News.Wrote wrote) {
            if (needs != null) {
                marks.merge(Mark.key(wrote.session()), new Mark(wrote.position(), wrote.group()), Mark.KIND::join);
            }
        } else if (news instanceof News.Written written) {
            if (doubts != null) {
                doubts.told(Fate.key(written.mark()), fate(written), now);
            }
        } else if (news instanceof News.Used used && shares != null) {
            shares.used(limits.get(used.limit()), used.units(), now);
        }
    }

    private Fate fate(News.Written written) {
        var first = Fate.Sent.of(written.sentAt(), written.group(), written.commandGroup(), null);
        return written.ran()
                ? Fate.ran(
                        first,
                        Fate.Witness.of(written.at(), roster.self().member().name(), written.node()))
                : Fate.unknown(first);
    }

    /** This router knows those nodes; what it only remembers of them is not put in as news of discovery. */
    public void know(EndpointList list) {
        if (list.complete()) {
            nodes.clear();
        }
        for (EndpointList.DiscoveredEndpoint entry : list.endpoints()) {
            String key = Evidence.key(entry.id());
            if (entry.state() == Endpoint.State.GONE) {
                nodes.remove(key);
            } else {
                nodes.put(key, new Known(entry.id(), entry.startedAt()));
            }
        }
        if (looks != null) {
            looks.keep(nodes.keySet());
        }
    }

    private void listed(String source, EndpointList list, double now) {
        know(list);
        if (lists == null) {
            return;
        }
        var entries = new ArrayList<ListMerge.Entry>();
        boolean fits = true;
        for (EndpointList.DiscoveredEndpoint entry : list.endpoints()) {
            try {
                entries.add(entry(entry, list.version(), now));
            } catch (IllegalArgumentException e) {
                fits = false;
                senseless++;
            }
        }
        // Guards against calling a node gone that only could not be told: what is left out of a whole list is gone.
        lists.own(source, list.version(), list.complete() && fits, entries, now);
        Set<String> heard = entries.stream().map(ListMerge.Entry::id).collect(Collectors.toSet());
        // The loop has heard the same from discovery itself.
        lists.changes().stream()
                .filter(change ->
                        change.word().revision() != list.version() || !(list.complete() || heard.contains(change.id())))
                .forEach(this::hand);
    }

    private static ListMerge.Entry entry(EndpointList.DiscoveredEndpoint entry, long revision, double now) {
        if (entry.id().length() > LONGEST_ID) {
            throw new IllegalArgumentException("a long id");
        }
        return new ListMerge.Entry(
                entry.id(),
                new Listed(
                        revision,
                        Listed.State.valueOf(entry.state().name()),
                        entry.startedAt(),
                        entry.primary(),
                        entry.zone(),
                        entry.replicaSetId(),
                        entry.address().getAddress().getHostAddress(),
                        entry.address().getPort(),
                        now));
    }

    // ---- to the loop ----

    @Override
    public double turn(double now, Outbox out) {
        double next = now + SELDOM;
        if (looks != null) {
            putting = true;
            next = looks.turn(
                    shared, key -> nodes.containsKey(key) ? nodes.get(key).startedAt() : 0, now);
            putting = false;
            hand(now);
        }
        if (doubts != null) {
            doubts.turn(now);
            fates.newConflicts()
                    .forEach(row -> Log.warn(
                            "sharing conflict",
                            "sharing: command " + row.key() + " has run, says "
                                    + row.fate().ran().sight().by() + ", and has not, says "
                                    + row.fate().notRun().sight().by()));
        }
        if (now >= seldomAt) {
            seldomAt = now + SELDOM;
            seldom(now);
        }
        if (lists != null) {
            lists.changes().forEach(this::hand);
        }
        if (needs != null && now >= publishAt) {
            publishAt = now + PUBLISH;
            marks.forEach((session, mark) -> shared.put(Mark.KIND, session, mark, now));
            marks.clear();
            needs.publish(now);
        }
        return needs == null ? next : Math.min(next, publishAt);
    }

    /** All that came is put in at the next turn. */
    void hurry() {
        publishAt = Double.NEGATIVE_INFINITY;
    }

    private void seldom(double now) {
        if (lists != null) {
            lists.renew(now);
        }
        if (shares != null) {
            shares.tell(now);
            var fresh = new EnumMap<PeerSharing.SharedQuota, Double>(PeerSharing.SharedQuota.class);
            limits.forEach((limit, shared) -> fresh.put(limit, shares.left(shared, now)));
            left = fresh;
        }
    }

    private void hand(double now) {
        for (String key : changed) {
            Known node = nodes.get(key);
            Hearsay.Word word = node == null ? null : hearsay.on(node.id(), node.startedAt(), now);
            if (word != null) {
                evidence.put(
                        node.id(),
                        new PeerObservation(
                                word.nodeStart(),
                                word.position(),
                                word.positionAt(),
                                word.lag(),
                                word.lagAt(),
                                word.primaryAt(),
                                word.replicaAt(),
                                word.heardAt(),
                                word.failedAt(),
                                word.strikes(),
                                word.slowness(),
                                word.slownessWeight(),
                                word.load(),
                                word.loadWeight()));
            }
        }
        changed.clear();
    }

    private void hand(ListMerge.Entry change) {
        Listed word = change.word();
        InetSocketAddress address = EndpointList.parseAddress(word.host() + ":" + word.port());
        if (address == null || word.zone().isEmpty()) {
            senseless++;
            return;
        }
        changes.put(
                change.id(),
                new EndpointList(
                        word.revision(),
                        false,
                        List.of(new EndpointList.DiscoveredEndpoint(
                                change.id(),
                                address,
                                word.zone(),
                                word.group(),
                                Endpoint.State.valueOf(word.state().name()),
                                word.primary(),
                                word.nodeStart()))));
    }

    /** The position that a read of that session must cover; 0 for none. For any thread. */
    public double need(String session, double now) {
        return needs == null || session == null ? 0 : Math.max(0, needs.need(Mark.key(session), now));
    }

    /** For any thread. */
    double left(PeerSharing.SharedQuota limit) {
        return left.getOrDefault(limit, Double.POSITIVE_INFINITY);
    }

    // ---- for the log ----

    /** Each kind with its digest and how many entries there are, and how certain the copy is. */
    String figures(double now) {
        var text = new StringBuilder("digests");
        for (Kind<?> kind : kinds.all()) {
            text.append(' ')
                    .append(kind.name())
                    .append('=')
                    .append(Long.toHexString(shared.digest(kind, now)))
                    .append('/')
                    .append(shared.size(kind));
        }
        double certain = shared.certainUpTo(now);
        text.append(
                certain == Double.NEGATIVE_INFINITY
                        ? ", not certain"
                        : ", certain " + tenths(now - certain) + " s ago");
        if (lists != null) {
            text.append(", list behind ").append(lists.behind());
        }
        if (fates != null) {
            text.append(", fates ").append(fates.counts());
        }
        if (shares != null) {
            text.append(shares.cutOff(now) ? ", cut off" : "");
        }
        return text.append(", senseless ").append(senseless).toString();
    }

    private static double tenths(double seconds) {
        return Math.round(seconds * 10) / 10.0;
    }

    // ---- nothing comes for it ----

    @Override
    public Map<Integer, Function<Reader, ? extends Part>> parts() {
        return Map.of();
    }

    @Override
    public void heard(Peer from, Part part, double now, Outbox out) {
        throw new IllegalArgumentException("no part is read for this");
    }
}
