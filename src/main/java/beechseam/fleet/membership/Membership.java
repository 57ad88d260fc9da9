package beechseam.fleet.membership;

import beechseam.fleet.membership.Message.Ack;
import beechseam.fleet.membership.Message.Exchange;
import beechseam.fleet.membership.Message.Gossip;
import beechseam.fleet.membership.Message.Join;
import beechseam.fleet.membership.Message.Nack;
import beechseam.fleet.membership.Message.Ping;
import beechseam.fleet.membership.Message.PingRequest;
import beechseam.fleet.membership.Message.Refusal;
import beechseam.fleet.membership.Message.Welcome;
import beechseam.fleet.membership.Standing.State;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

/**
 * One node's part in keeping the membership: SWIM with suspicion, incarnations and news that goes along, and
 * Lifeguard's three parts: a node that was slow or unheard gives others more time (local health), a suspicion
 * lasts the longer the fewer share it, and a suspect is told first of all. Each probe span costs a node one
 * question and its answer, however large the fleet; news reaches all in a number of gossip turns that grows
 * with the logarithm of its size.
 *
 * <p>Single-threaded. Same seed, same events, same messages. What it is told of is O(log n) an item but for
 * {@link Exchange}, which is O(n).
 */
public final class Membership {
    /** What the machine does. None of it may enter the machine again before it returns. */
    public interface Host {
        /** One way and without a promise. {@code name} is empty where only the address is known. */
        void send(String name, String address, Message message);

        /** {@code before} is null for a node that was not known; {@code why} is for operators. */
        void changed(Standing before, Standing after, String why);

        /** This process may not be a member; it is none from now on, and its machine is silent. */
        void refused(String why);
    }

    /** How far this process has come. */
    public enum Phase {
        JOINING,
        MEMBER,
        LEAVING,
        LEFT,
        REFUSED
    }

    /** How it went, for figures and for the accounts of experiments. */
    public static final class Figures {
        public long probes, unanswered, suspected, declaredDead, contradicted, refutations, stalls, stale;
    }

    /** A message with news holds about so many bytes of it, so that what is said often stays small. */
    private static final int NEWS_BYTES = 1200;
    /** Each item of news goes out so many times, times the logarithm of the fleet's size. */
    private static final int TELLINGS = 4;
    /** News that waits is told to so many at a time, so many times in a probe span. */
    private static final int GOSSIP_TO = 3;

    private static final int GOSSIP_TURNS = 5;
    private static final int WORST_HEALTH = 8;
    /** So many probe spans a process asks its seeds before it goes on alone. */
    private static final int ALONE_AFTER = 4;
    /** Helpers say that they hear nothing either once this share of the time-out is over. */
    private static final double NACK_AT = 0.8;
    /** A fleet up to this size exchanges at the plain span; larger ones the less often. */
    private static final double SMALL = 32;

    /** Something that happens at a time; those of one time in the order in which they were set. */
    private static final class Due implements Comparable<Due> {
        final long at, order;
        final Runnable what;
        boolean off;

        Due(long at, long order, Runnable what) {
            this.at = at;
            this.order = order;
            this.what = what;
        }

        @Override
        public int compareTo(Due other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    private static final class Entry {
        Standing standing;
        long since;
        Suspicion suspicion;
        int place = -1; // among those that are up
        Rumour rumour;
    }

    /** Who has said so, and until when it may be contradicted. */
    private static final class Suspicion {
        final Set<String> accusers = new HashSet<>();
        long from, least, most;
        int enough;
        Due end;
    }

    private static final class Rumour implements Comparable<Rumour> {
        final Standing standing;
        final long order;
        int told;

        Rumour(Standing standing, long order) {
            this.standing = standing;
            this.order = order;
        }

        @Override
        public int compareTo(Rumour other) { // the least told first, of those the newest
            return told != other.told ? Integer.compare(told, other.told) : Long.compare(other.order, order);
        }
    }

    /** A question that is out: on our own account, or for another who could not get an answer. */
    private static final class Question {
        final long sequence;
        final Runnable answered;
        int nacks;

        Question(long sequence, Runnable answered) {
            this.sequence = sequence;
            this.answered = answered;
        }
    }

    public final Figures figures = new Figures();
    private final Options options;
    private final Host host;
    private final Random random;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final List<Entry> up = new ArrayList<>();
    private final List<Entry> round = new ArrayList<>();
    private final TreeSet<Rumour> rumours = new TreeSet<>();
    private final PriorityQueue<Due> dues = new PriorityQueue<>();
    private final Map<Long, Question> questions = new HashMap<>();
    private final Set<String> checking = new HashSet<>();
    /** Of this node itself: what is being told of it. */
    private final Entry ownEntry = new Entry();

    private Standing own;
    private Phase phase = Phase.JOINING;
    private long now, order, sequence, view, since;
    private int health, next, joinsAsked;
    private Question probe;
    private boolean gossiping;

    /**
     * @param self as it wants to be known: state, epoch and incarnation are set here
     */
    public Membership(Standing self, Options options, long now, long seed, Host host) {
        this.options = options;
        this.host = host;
        this.now = now;
        this.since = now;
        random = new Random(seed);
        own = new Standing(self.name(), self.address(), 1, self.life(), 1, State.ALIVE, "", self.tags());
    }

    // ---- What the host tells

    /** Begins: asks the seeds, if there are any but itself. */
    public void start(long at) {
        now = at;
        if (others(options.seeds()).isEmpty()) {
            become("alone: no seeds but itself");
        } else {
            askSeeds();
        }
    }

    /** When {@link #advance} wants to be called next, or {@code Long.MAX_VALUE}. */
    public long nextAt() {
        while (!dues.isEmpty() && dues.peek().off) {
            dues.poll();
        }
        return dues.isEmpty() ? Long.MAX_VALUE : dues.peek().at;
    }

    /** Does what is due. A call that comes late is the host's fault, not that of others. */
    public void advance(long at) {
        long late = at - nextAt();
        if (options.health() && late > options.timeoutNs() / 2) {
            stalled(at, late);
        }
        now = Math.max(now, at);
        while (nextAt() <= now) {
            dues.poll().what.run();
        }
    }

    /** A message has come; {@code address} is where an answer goes, {@code name} who sent it. */
    public void received(long at, String name, String address, Message message) {
        now = Math.max(now, at);
        if (phase == Phase.REFUSED || phase == Phase.LEFT) {
            return;
        }
        boolean whole = message instanceof Exchange || message instanceof Welcome;
        for (Standing each : message.news()) {
            hear(each, whole);
        }
        if (message instanceof Ping p) {
            answer(name, address, p);
        } else if (message instanceof PingRequest p) {
            askFor(name, address, p);
        } else if (message instanceof Ack a) {
            answered(a.sequence());
        } else if (message instanceof Nack n) {
            if (probe != null && probe.sequence == n.sequence()) {
                probe.nacks++;
            }
        } else if (message instanceof Join j) {
            join(j.self());
        } else if (message instanceof Welcome && phase == Phase.JOINING) {
            become("let in by " + (name.isEmpty() ? address : name));
        } else if (message instanceof Refusal r && phase == Phase.JOINING) {
            refuse(r.why());
        } else if (message instanceof Exchange e && !e.reply() && phase != Phase.JOINING) {
            host.send(name, address, new Exchange(true, all()));
        }
    }

    /** Says goodbye; the phase is {@link Phase#LEFT} once it has been said to enough. */
    public void leave(long at) {
        now = at;
        if (phase != Phase.MEMBER) {
            phase = Phase.LEFT;
            return;
        }
        phase = Phase.LEAVING;
        Standing before = own;
        own = own.as(State.LEFT, "");
        view++;
        host.changed(before, own, "leaves");
        spread(ownEntry, own);
        for (int i = 0; i < GOSSIP_TURNS; i++) {
            after(i * options.probeNs() / GOSSIP_TURNS, () -> tellSome(GOSSIP_TO));
        }
        after(options.probeNs(), () -> phase = Phase.LEFT);
    }

    // ---- What it shows

    public Phase phase() {
        return phase;
    }

    public Standing own() {
        return own;
    }

    /** All that are remembered, itself included, those that have died or left too. */
    public List<Standing> all() {
        List<Standing> all = new ArrayList<>(entries.size() + 1);
        all.add(own);
        entries.values().forEach(each -> all.add(each.standing));
        return all;
    }

    /** Since when a node stands as it does; the start for itself, -1 where it is not known. */
    public long since(String name) {
        Entry e = entries.get(name);
        return name.equals(own.name()) ? since : e == null ? -1 : e.since;
    }

    /** What is held of a name, or null. */
    public Standing of(String name) {
        Entry e = entries.get(name);
        return name.equals(own.name()) ? own : e == null ? null : e.standing;
    }

    /** How many are up, itself included. */
    public int size() {
        return up.size() + (phase == Phase.MEMBER ? 1 : 0);
    }

    /** Grows by one with each change that this node holds for true; two nodes' numbers do not compare. */
    public long view() {
        return view;
    }

    /** The same at two nodes that hold the same lives for up, whatever their order; O(n). */
    public long digest() {
        long sum = phase == Phase.MEMBER ? mark(own) : 0;
        for (Entry each : up) {
            sum += mark(each.standing);
        }
        return sum;
    }

    /** 0 where all is well with this node itself, 8 where it gives others nine times as long. */
    public int health() {
        return health;
    }

    private static long mark(Standing s) {
        long z = (s.name().hashCode() * 31L + s.epoch()) * 0x9E3779B97F4A7C15L ^ s.life();
        z = (z ^ z >>> 30) * 0xBF58476D1CE4E5B9L;
        return z ^ z >>> 27;
    }

    // ---- Joining

    private List<String> others(List<String> addresses) {
        return addresses.stream().filter(each -> !each.equals(own.address())).toList();
    }

    private void askSeeds() {
        if (phase != Phase.JOINING) {
            return;
        }
        if (joinsAsked++ >= ALONE_AFTER) {
            become("alone: no seed has answered");
            return;
        }
        for (String seed : others(options.seeds())) {
            host.send("", seed, new Join(own, List.of()));
        }
        after(jittered(options.probeNs()), this::askSeeds);
    }

    private void become(String why) {
        phase = Phase.MEMBER;
        view++;
        host.changed(null, own, why);
        spread(ownEntry, own);
        after((long) (random.nextDouble() * options.probeNs()), this::probeNext);
        after(jittered(exchangeSpan()), this::exchange);
    }

    /** Somebody asks to be let in. A name that another process answers to is taken. */
    private void join(Standing joiner) {
        Standing holder = of(joiner.name());
        boolean free = holder == null
                || !holder.up()
                || holder.life() == joiner.life()
                || holder.address().equals(joiner.address()) && holder != own;
        if (free) {
            answer(joiner, new Welcome(all()));
        } else if (holder == own) {
            answer(joiner, new Refusal(taken(own), List.of()));
        } else if (checking.add(joiner.name() + joiner.life())) {
            check(
                    holder,
                    () -> answer(joiner, new Refusal(taken(holder), List.of())),
                    () -> answer(joiner, new Welcome(all())),
                    () -> checking.remove(joiner.name() + joiner.life()));
        }
    }

    private void answer(Standing joiner, Message message) {
        host.send(joiner.name(), joiner.address(), message);
    }

    private static String taken(Standing holder) {
        return "the name " + holder.name() + " is taken: the process at " + holder.address() + " answers to it";
    }

    /** Asks another process whether it lives, beside the usual round. */
    private void check(Standing whom, Runnable lives, Runnable silent, Runnable done) {
        Question q = ask(() -> {
            lives.run();
            done.run();
        });
        host.send(whom.name(), whom.address(), new Ping(q.sequence, whom.name(), whom.life(), news()));
        after(2 * scaled(options.timeoutNs()), () -> {
            if (questions.remove(q.sequence) != null) {
                silent.run();
                done.run();
            }
        });
    }

    private void refuse(String why) {
        phase = Phase.REFUSED;
        dues.clear();
        host.refused(why);
    }

    // ---- Probing

    private Question ask(Runnable answered) {
        Question q = new Question(++sequence, answered);
        questions.put(q.sequence, q);
        return q;
    }

    private void answered(long of) {
        Question q = questions.remove(of);
        if (q != null) {
            q.answered.run();
        }
    }

    /** Local health: what is waited for takes the longer, the less this node could hear of late. */
    private long scaled(long span) {
        return options.health() ? span * (1 + health) : span;
    }

    private void feel(int by) {
        health = Math.max(0, Math.min(WORST_HEALTH, health + by));
    }

    private void probeNext() {
        if (phase != Phase.MEMBER) {
            return;
        }
        Entry target = nextInRound();
        long span = scaled(options.probeNs());
        after(span, this::probeNext);
        if (target == null) {
            return;
        }
        figures.probes++;
        Standing s = target.standing;
        boolean[] heard = {false};
        Question q = ask(() -> heard[0] = true);
        probe = q;
        // A suspect is told so in the very question, that it may contradict with the answer.
        List<Standing> news = news();
        if (s.state() == State.SUSPECT && !news.contains(s)) {
            news.add(0, s);
        }
        host.send(s.name(), s.address(), new Ping(q.sequence, s.name(), s.life(), news));
        int[] asked = {0};
        after(scaled(options.timeoutNs()), () -> {
            if (!heard[0] && probe == q) {
                for (Entry helper : some(options.helpers(), target)) {
                    asked[0]++;
                    host.send(
                            helper.standing.name(),
                            helper.standing.address(),
                            new PingRequest(q.sequence, s.name(), s.life(), s.address(), news()));
                }
            }
        });
        after(span - 1, () -> {
            questions.remove(q.sequence);
            if (probe != q) {
                return; // void: this node stood still meanwhile
            }
            probe = null;
            if (heard[0]) {
                feel(-1);
                return;
            }
            figures.unanswered++;
            // Helpers that said nothing at all point to this node; with none to ask it cannot tell.
            feel(asked[0] > 0 ? asked[0] - q.nacks : 1);
            if (target.standing == s || target.standing.sameLife(s)) {
                suspect(target);
            }
        });
    }

    private Entry nextInRound() {
        for (int i = round.size(); i >= 0; i--) {
            if (next >= round.size()) {
                next = 0;
                round.clear();
                round.addAll(up);
                Collections.shuffle(round, random);
            }
            if (round.isEmpty()) {
                return null;
            }
            Entry e = round.get(next++);
            if (e.place >= 0) {
                return e;
            }
        }
        return null;
    }

    /** Up to so many others drawn at random, without this one. */
    private List<Entry> some(int count, Entry but) {
        List<Entry> drawn = new ArrayList<>(count);
        int rest = up.size();
        for (int tries = 0; tries < 4 * count && drawn.size() < count && rest > 0; tries++) {
            Entry e = up.get(random.nextInt(rest));
            if (e != but && !drawn.contains(e)) {
                drawn.add(e);
            }
        }
        return drawn;
    }

    private void answer(String name, String address, Ping p) {
        if (!p.target().equals(own.name()) || phase == Phase.JOINING) {
            return;
        }
        if (p.life() != 0 && p.life() != own.life()) { // an earlier process of this name was meant
            host.send(name, address, new Gossip(List.of(own)));
            return;
        }
        host.send(name, address, new Ack(p.sequence(), news()));
    }

    private void askFor(String name, String address, PingRequest p) {
        Question q = ask(() -> host.send(name, address, new Ack(p.sequence(), news())));
        host.send(p.target(), p.address(), new Ping(q.sequence, p.target(), p.life(), news()));
        after((long) (NACK_AT * options.timeoutNs()), () -> {
            if (questions.containsKey(q.sequence)) { // what comes later is passed on all the same
                host.send(name, address, new Nack(p.sequence(), news()));
            }
        });
        after(2 * options.probeNs(), () -> questions.remove(q.sequence));
    }

    /**
     * This node stood still, as a paused process does: what it did not hear meanwhile says nothing of others.
     * The question that is out is void, and each suspect gets the lost time back.
     */
    private void stalled(long at, long late) {
        figures.stalls++;
        feel(1);
        probe = null;
        for (Entry e : up) {
            if (e.suspicion != null && e.suspicion.end != null) {
                Due end = e.suspicion.end;
                end.off = true;
                e.suspicion.most += late;
                e.suspicion.least += late;
                e.suspicion.end = until(Math.max(end.at, at) + late, end.what);
            }
        }
    }

    // ---- News

    /** {@code whole}: from an exchange, where old claims of a death come up again. */
    private void hear(Standing s, boolean whole) {
        if (s.name().equals(own.name())) {
            hearOfSelf(s);
            return;
        }
        Entry e = entries.get(s.name());
        if (e == null) {
            e = new Entry();
            entries.put(s.name(), e);
            put(e, s, "heard of");
            return;
        }
        Standing held = e.standing;
        if (!s.supersedes(held)) {
            if (s.state() == State.SUSPECT
                    && held.state() == State.SUSPECT
                    && s.sameLife(held)
                    && s.incarnation() == held.incarnation()) {
                confirm(e, s.accuser());
            } else if (s.sameLife(held) && held.state() == State.DEAD && s.up()) {
                figures.stale++;
            }
            return;
        }
        if (s.state() == State.DEAD && whole && held.up() && s.sameLife(held)) {
            // The other half's word from before: it may live on this side, so it gets the time to say so.
            Standing doubted = s.as(State.SUSPECT, s.accuser());
            if (doubted.supersedes(held)) {
                put(e, doubted, why(held, doubted));
            }
            return;
        }
        figures.contradicted += held.state() == State.SUSPECT && s.state() == State.ALIVE ? 1 : 0;
        put(e, s, why(held, s));
    }

    private static String why(Standing held, Standing s) {
        return switch (s.state()) {
            case ALIVE -> !s.sameLife(held) ? "restarted" : held.state() == State.SUSPECT ? "contradicts" : "is back";
            case SUSPECT -> "suspected by " + s.accuser();
            case DEAD -> "declared dead, accused by " + s.accuser();
            case LEFT -> "has left";
        };
    }

    private void hearOfSelf(Standing s) {
        if (s.life() == own.life()) {
            if (phase == Phase.MEMBER
                    && s.epoch() == own.epoch()
                    && s.state() != State.ALIVE
                    && s.incarnation() >= own.incarnation()) {
                figures.refutations++;
                feel(1); // whoever is accused has been slow itself
                own = own.reclaimed(s.incarnation() + 1);
                spread(ownEntry, own);
            }
            return;
        }
        if (phase == Phase.JOINING) {
            own = inEpoch(Math.max(own.epoch(), s.epoch() + 1)); // whoever let it in has seen to the rest
            return;
        }
        if (phase != Phase.MEMBER || !s.supersedes(own)) {
            return; // an earlier life; the answer carries the newer one
        }
        if (!s.up() || s.address().equals(own.address())) {
            own = inEpoch(s.epoch() + 1);
            spread(ownEntry, own);
        } else if (checking.add("self" + s.life())) {
            check(
                    s,
                    () -> refuse(taken(s)),
                    () -> {
                        own = inEpoch(s.epoch() + 1);
                        spread(ownEntry, own);
                    },
                    () -> checking.remove("self" + s.life()));
        }
    }

    private Standing inEpoch(long epoch) {
        return new Standing(own.name(), own.address(), epoch, own.life(), 1, State.ALIVE, "", own.tags());
    }

    /** This node itself has had no answer. */
    private void suspect(Entry e) {
        Standing s = e.standing;
        String accuser = own.name();
        if (s.state() == State.ALIVE) {
            figures.suspected++;
            put(e, s.as(State.SUSPECT, accuser), "suspected by " + accuser);
        } else if (s.state() == State.SUSPECT) {
            confirm(e, accuser);
        }
    }

    private void put(Entry e, Standing s, String why) {
        Standing before = e.standing;
        e.standing = s;
        e.since = now;
        if (e.suspicion != null) {
            e.suspicion.end.off = true;
            e.suspicion = null;
        }
        place(e, s.up());
        if (s.state() == State.SUSPECT) {
            beginSuspicion(e);
        }
        if (before == null || before.state() != s.state() || !before.sameLife(s)) {
            view++;
            host.changed(before, s, why);
        }
        if (before != null || s.up()) { // the dead of before its time are remembered, but no news
            spread(e, s);
        }
    }

    private void place(Entry e, boolean isUp) {
        if (isUp && e.place < 0) {
            e.place = up.size();
            up.add(e);
            round.add(next + random.nextInt(round.size() - Math.min(next, round.size()) + 1), e);
        } else if (!isUp && e.place >= 0) {
            Entry last = up.remove(up.size() - 1);
            if (last != e) {
                up.set(e.place, last);
                last.place = e.place;
            }
            e.place = -1;
        }
    }

    /**
     * Lifeguard's suspicion: it starts long and is cut by each further accuser, by the logarithm of their
     * number, so that one node that hears badly cannot kill alone what many could not reach either.
     */
    private void beginSuspicion(Entry e) {
        Suspicion s = new Suspicion();
        s.accusers.add(e.standing.accuser());
        s.from = now;
        double spans = options.patience() * Math.max(1, Math.log10(Math.max(1, size())));
        s.least = (long) (spans * options.probeNs());
        s.enough = options.health() ? Math.min(options.helpers(), Math.max(0, up.size() - 1)) : 0;
        s.most = s.enough == 0 ? s.least : (long) (s.least * options.doubtful());
        e.suspicion = s;
        s.end = until(s.from + s.most, () -> declareDead(e));
    }

    private void confirm(Entry e, String accuser) {
        Suspicion s = e.suspicion;
        if (s == null || s.accusers.size() > s.enough || !s.accusers.add(accuser)) {
            return;
        }
        double share = Math.log(s.accusers.size()) / Math.log(s.enough + 1);
        long at = s.from + Math.max(s.least, (long) (s.most - share * (s.most - s.least)));
        s.end.off = true;
        s.end = until(Math.max(now, at), () -> declareDead(e));
        spread(e, e.standing.as(State.SUSPECT, accuser)); // that others may count this accuser too
    }

    private void declareDead(Entry e) {
        figures.declaredDead++;
        Standing s = e.standing;
        put(e, s.as(State.DEAD, s.accuser()), "declared dead, accused by " + s.accuser());
    }

    // ---- Telling

    /** Takes the place of what was being told of the same name. */
    private void spread(Entry e, Standing s) {
        if (e.rumour != null) {
            rumours.remove(e.rumour);
        }
        e.rumour = new Rumour(s, ++order);
        rumours.add(e.rumour);
        if (!gossiping && phase == Phase.MEMBER) {
            gossiping = true;
            after((long) (random.nextDouble() * options.probeNs() / GOSSIP_TURNS), this::gossip);
        }
    }

    private void gossip() {
        gossiping = false;
        if (phase != Phase.MEMBER) {
            return;
        }
        tellSome(GOSSIP_TO);
        if (!rumours.isEmpty()) {
            gossiping = true;
            after(options.probeNs() / GOSSIP_TURNS, this::gossip);
        }
    }

    private void tellSome(int count) {
        for (Entry e : some(count, null)) {
            List<Standing> news = news();
            if (!news.isEmpty()) {
                host.send(e.standing.name(), e.standing.address(), new Gossip(news));
            }
        }
        if (up.isEmpty()) {
            rumours.clear(); // nobody to tell: whoever comes gets everything
        }
    }

    /** What is told least, as much as a message holds; what has been told often enough is dropped. */
    private List<Standing> news() {
        List<Standing> news = new ArrayList<>();
        List<Rumour> again = new ArrayList<>();
        int most = (int) (TELLINGS * Math.ceil(Math.log10(up.size() + 2)));
        for (int bytes = 0; bytes < NEWS_BYTES && !rumours.isEmpty(); ) {
            Rumour r = rumours.pollFirst();
            bytes += r.standing.weight();
            news.add(r.standing);
            if (++r.told < most) {
                again.add(r);
            }
        }
        rumours.addAll(again);
        return news;
    }

    private long exchangeSpan() {
        double n = size() / SMALL;
        return (long) (options.exchangeNs() * Math.max(1, 1 + Math.log(n) / Math.log(2)));
    }

    /**
     * Everything with one that is up; and with one that is not, or with a seed that is no member, since after
     * a cut each half holds the other for dead, and somebody has to ask.
     */
    private void exchange() {
        if (phase != Phase.MEMBER) {
            return;
        }
        for (Entry e : some(1, null)) {
            host.send(e.standing.name(), e.standing.address(), new Exchange(false, all()));
        }
        List<Standing> lost = new ArrayList<>();
        entries.values().removeIf(e -> !e.standing.up() && now - e.since > options.forgetNs());
        Set<String> known = new HashSet<>();
        for (Entry e : entries.values()) {
            if (e.standing.up()) {
                known.add(e.standing.address());
            } else if (e.standing.state() == State.DEAD) {
                lost.add(e.standing);
            }
        }
        for (String seed : others(options.seeds())) {
            if (!known.contains(seed)) {
                lost.add(new Standing("", seed, 0, 0, 0, State.DEAD, "", Map.of()));
            }
        }
        if (!lost.isEmpty()) {
            Standing one = lost.get(random.nextInt(lost.size()));
            host.send(one.name(), one.address(), new Exchange(false, all()));
        }
        after(
                jittered(lost.isEmpty() ? exchangeSpan() : Math.min(exchangeSpan(), options.exchangeNs())),
                this::exchange);
    }

    // ---- Time

    private long jittered(long span) {
        return (long) (span * (0.75 + random.nextDouble() / 2));
    }

    private void after(long span, Runnable what) {
        until(now + span, what);
    }

    private Due until(long at, Runnable what) {
        Due due = new Due(at, ++order, what);
        dues.add(due);
        return due;
    }
}
