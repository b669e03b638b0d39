package org.tanagergap.standins.engine;

/** Run that the engine has accepted and not yet finished. */
final class ActiveRun {

    private final EngineRequest mRequest;
    private final RunObserver mObserver;
    private final long mSequence;
    private long mCachedTokens;
    private long mPrefillLeft;
    private long mNextIndex;
    private boolean mAdmitted;

    ActiveRun(EngineRequest request, RunObserver observer, long sequence) {
        mRequest = request;
        mObserver = observer;
        mSequence = sequence;
        mNextIndex = request.resumeFrom();
        mPrefillLeft = request.promptTokens();
    }

    EngineRequest request() {
        return mRequest;
    }

    RunObserver observer() {
        return mObserver;
    }

    long sequence() {
        return mSequence;
    }

    int priority() {
        return mRequest.priority();
    }

    boolean isAdmitted() {
        return mAdmitted;
    }

    /** Allocates memory to the run; tokens in the prefix cache need no prefill. */
    void admit(long cachedTokens, long importCostTokens) {
        mAdmitted = true;
        // An engine computes at least the last prompt token, even when all blocks are cached.
        mCachedTokens = Math.min(cachedTokens, mRequest.promptTokens() - 1);
        mPrefillLeft =
                mRequest.promptTokens()
                        + mRequest.resumeFrom()
                        + importCostTokens
                        - Math.max(0, mCachedTokens);
    }

    boolean isPrefilling() {
        return mAdmitted && mPrefillLeft > 0;
    }

    boolean isDecoding() {
        return mAdmitted && mPrefillLeft == 0;
    }

    long prefillLeft() {
        return mPrefillLeft;
    }

    /**
     * Prefills at most the given number of tokens.
     *
     * @return number of tokens prefilled
     */
    long prefill(long budgetTokens) {
        long tokens = Math.min(budgetTokens, mPrefillLeft);
        mPrefillLeft -= tokens;
        return tokens;
    }

    /** Returns true once all output tokens have been generated. */
    boolean isComplete() {
        return mNextIndex >= mRequest.maxTokens();
    }

    /** Emits the next output token. */
    void decode() {
        long index = mNextIndex++;
        mObserver.onToken(index, PromptDigest.outputToken(mRequest.promptDigest(), index));
    }

    RunUsage usage() {
        return new RunUsage(
                mRequest.promptTokens() + mRequest.importedTokens(),
                mNextIndex - mRequest.resumeFrom(),
                Math.max(0, mCachedTokens));
    }

    String stateName() {
        if (!mAdmitted) {
            return "queued";
        }
        return isPrefilling() ? "prefill" : "decode";
    }
}
