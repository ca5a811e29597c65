package frostreel.lab.virtual;

import java.util.List;
import java.util.SplittableRandom;

/** Draws the requests of clients according to the request classes of a plan. */
final class RequestDraw {
    /** The least part of a class's deadline for which a client waits. */
    private static final double MIN_PATIENCE = 0.4;
    /** The random part added to it, at most. */
    private static final double PATIENCE_SPREAD = 0.6;

    private final SimulationPlan plan;

    RequestDraw(SimulationPlan plan) {
        this.plan = plan;
    }

    /** Draws a request that is sent to a pooler now, in a second of the run. */
    ClientRequest draw(VirtualPooler pooler, SplittableRandom random, long nowUs, int second) {
        int classIndex = drawClass(random);
        SimulationPlan.RequestKind kind = plan.site().kinds().get(classIndex);
        double workUs = kind.minWorkUs() + random.nextDouble() * (kind.maxWorkUs() - kind.minWorkUs());
        int session = random.nextInt(plan.site().sessions());
        double patience = MIN_PATIENCE + PATIENCE_SPREAD * random.nextDouble();
        boolean mayRetry = random.nextBoolean() && plan.clientRetries();
        return new ClientRequest(
                pooler, classIndex, session % plan.groups(), session, workUs, patience, nowUs, second, mayRetry);
    }

    private int drawClass(SplittableRandom random) {
        List<SimulationPlan.RequestKind> kinds = plan.site().kinds();
        double draw = random.nextDouble();
        int index = 0;
        while (index < kinds.size() - 1 && draw >= kinds.get(index).share()) {
            draw -= kinds.get(index++).share();
        }
        return index;
    }
}
