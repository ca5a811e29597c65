package frostreel.lab.virtual;

import frostreel.cluster.Membership;
import frostreel.cluster.MembershipView;
import frostreel.cluster.Peer;
import java.util.ArrayDeque;
import java.util.Queue;

/** One incarnation of a pooler in a {@link VirtualGroup}. */
final class GroupMember implements Membership {
    final VirtualLog.Reader logReader = new VirtualLog.Reader();
    /** The newest view that contains it, which it adopts once it is not paused. */
    MembershipView latestView = MembershipView.NONE;

    private final VirtualGroup group;
    private final Peer self;
    private final Listener listener;
    /** Events that came while it was paused. */
    private final Queue<Runnable> missedEvents = new ArrayDeque<>();

    private MembershipView view = MembershipView.NONE;
    private boolean paused;
    private long pausedAtUs;
    private boolean ended;

    GroupMember(VirtualGroup group, Peer self, Listener listener) {
        this.group = group;
        this.self = self;
        this.listener = listener;
    }

    @Override
    public Peer self() {
        return self;
    }

    String name() {
        return self.name();
    }

    @Override
    public MembershipView view() {
        return view;
    }

    @Override
    public void send(Peer to, byte[] message) {
        Membership.checkSize(message);
        if (!to.equals(self) && view.members().contains(to)) {
            group.transmit(this, to, message);
        }
    }

    @Override
    public void broadcast(byte[] message) {
        Membership.checkSize(message);
        for (Peer to : view.members()) {
            if (!to.equals(self)) {
                group.transmit(this, to, message);
            }
        }
    }

    @Override
    public void leave() {
        if (!ended) {
            group.leave(this);
        }
    }

    /** Ends this incarnation: it gets no further events. */
    void end() {
        ended = true;
    }

    boolean ended() {
        return ended;
    }

    boolean paused() {
        return paused;
    }

    /** Since when it is paused, where it is. */
    long pausedAtUs() {
        return pausedAtUs;
    }

    void pause(long nowUs) {
        paused = true;
        pausedAtUs = nowUs;
    }

    /** Resumes it, and delivers the events that it missed. */
    void resume() {
        paused = false;
        while (!paused && !missedEvents.isEmpty()) {
            missedEvents.poll().run();
        }
    }

    /** Runs an event on this member now, or once it resumes; never where it has ended. */
    void deliver(Runnable event) {
        if (ended) {
            return;
        }
        if (paused) {
            missedEvents.add(event);
        } else {
            event.run();
        }
    }

    void deliverMessage(Peer from, byte[] message) {
        deliver(() -> listener.onMessage(from, message));
    }

    void deliverJoinFailure(String reason) {
        deliver(() -> listener.onJoinFailed(reason));
    }

    /** Delivers a view; it is adopted together with the suspicions of those that it lacks. */
    void deliverView(MembershipView next) {
        latestView = next;
        deliver(() -> adopt(next));
    }

    private void adopt(MembershipView next) {
        MembershipView before = view;
        view = next;
        next.left(before).stream()
                .filter(peer -> !group.hasLeftGracefully(peer))
                .forEach(listener::onSuspected);
        listener.onViewChanged(next, before);
    }
}
