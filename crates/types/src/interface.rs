//! What the decision module is told (`Terms`, `Event`) and what it asks for (`Action`).
//! Servers, products, zones and tenants are small indices given out at the door; nothing here decides.

use crate::time::Span;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TxnId(pub u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key(pub u64);

pub type Build = u32;
pub type ServerIx = usize;
pub type ProductIx = usize;
pub type TenantIx = usize;
pub type ZoneIx = usize;
pub type PeerIx = usize;

/// Which servers drop the repeats of a referenced txn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    All,
    Zone,
    Cell,
}

/// Whether a txn may run again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Repeat {
    #[default]
    InquiryLike,
    Referenced {
        group: Group,
        memory: Span,
    },
    OnceOnly,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProductTerms {
    pub repeat: Repeat,
    pub sla: Span,
    pub sla_stretch: f64,
    pub expiry: Span,
    pub revenue: f64,
    pub late_worth: f64,
}

/// Who moves a stage on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Control {
    #[default]
    Votes,
    Clock,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Discovery {
    #[default]
    Pushed,
    OnRequest,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Counting {
    #[default]
    Together,
    ByProduct,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reports {
    #[default]
    None,
    WithAnswers,
    WhenProbed,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReleaseTerms {
    pub control: Control,
    pub caps: Vec<f64>,
    pub steps: Vec<f64>,
    pub counting: Counting,
    pub window: Span,
    pub free: f64,
    pub guarded_stages: usize,
    pub one_way: bool,
    pub least_stage: Span,
    pub vote_life: Span,
    pub vote_wait: Span,
    pub votes_a_second: f64,
    pub beside: bool,
    pub complaint_share: f64,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct RuleTerms {
    pub cold_from: f64,
    pub ramp: Span,
    pub fall: Span,
    pub fall_multiple: f64,
    pub ask_within: Span,
    /// How long after it is told that a server drains something new may still go there.
    pub drain_grace: Span,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct LimitTerms {
    pub attempts: usize,
    pub recall: bool,
    pub tell: bool,
    pub probe: bool,
    pub retry_after: Option<Span>,
    pub connect: Span,
    /// How long a connection that is not used stays open.
    pub idle: Span,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Terms {
    pub zone: ZoneIx,
    pub balancers: usize,
    pub ordinal: PeerIx,
    pub tick: Span,
    pub discovery: Discovery,
    pub reports: Reports,
    pub products: Vec<ProductTerms>,
    pub tenant_quotas: Vec<f64>,
    pub release: ReleaseTerms,
    pub rules: RuleTerms,
    pub limits: LimitTerms,
    pub cross_zone_price: f64,
    pub warm_keys: bool,
    pub marks_repeats: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Lifecycle {
    #[default]
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listed {
    pub server: ServerIx,
    pub build: Build,
    pub zone: ZoneIx,
    pub cell: u64,
    pub model: usize,
    pub weight: f64,
    pub lifecycle: Lifecycle,
    /// How long ago it started; none if long ago.
    pub age: Option<Span>,
    /// The same at every gateway: how peers name a server to each other.
    pub mark: u16,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    Changes,
    Whole,
    Kept,
    Failed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Served,
    Errored,
    Full,
    TimedOut,
    ConnectFailed,
    Reset,
    Recalled,
    Moot,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Trial,
    GoingBack,
    Released,
    Withdrawn,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    Valid,
    Moot,
    Full,
    Errored,
    TimedOut,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Withdraw,
    On,
    Hold,
    Back,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    pub inflight: Option<f64>,
    pub busy: Option<f64>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct StageNews {
    pub build: Build,
    pub stage: usize,
    pub phase: Phase,
    pub cap: f64,
    pub word: Word,
    pub answers_vote: bool,
    pub age: Span,
}

/// The two builds compared in a stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Arm {
    Earlier = 0,
    Trial = 1,
}

/// What became of a submission, or of a txn that got none, or what a client said of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    Ended(Outcome),
    Unsent,
    Complaint,
}

/// One such fate as gateways tell it to each other; the time is in the product's SLA times.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Hearsay {
    pub mark: u16,
    pub build: Build,
    pub product: ProductIx,
    pub fate: Fate,
    pub lag: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    Drop {
        build: Build,
        stage: usize,
        drops: usize,
        arm: Arm,
    },
    /// Txns taken since the last such word, those of them that are no client's repeats, and submissions open now.
    Fates {
        taken: usize,
        fresh: usize,
        open: usize,
        fates: Vec<Hearsay>,
    },
    /// The part of txns to give up on, and slow servers by their marks with their times against the usual.
    Paces {
        shed: f64,
        paces: Vec<(u16, f64)>,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    Roster {
        scope: Scope,
        lines: Vec<Listed>,
    },
    Txn {
        id: TxnId,
        product: ProductIx,
        tenant: Option<TenantIx>,
        key: Option<Key>,
        /// A client's repeat, where clients mark them.
        again: bool,
        left: Span,
        cost: Option<Span>,
    },
    Left {
        id: TxnId,
    },
    Streaming {
        id: TxnId,
        attempt: usize,
    },
    Closed {
        id: TxnId,
        attempt: usize,
        server: ServerIx,
        outcome: Outcome,
        took: Span,
        ended: bool,
        load: Load,
    },
    Probed {
        server: ServerIx,
        outcome: Outcome,
        load: Load,
    },
    Stage(StageNews),
    Tally {
        build: Build,
        product: ProductIx,
        seen: u64,
        failed: u64,
        mean: Span,
    },
    Complaint {
        server: ServerIx,
        product: ProductIx,
        age: Span,
    },
    Mail {
        from: PeerIx,
        message: Message,
    },
    /// A build has answered this key elsewhere, so no earlier one may here.
    Pinned {
        key: Key,
        build: Build,
    },
    Wake,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Submit { id: TxnId, server: ServerIx, timeout: Span },
    Recall { id: TxnId, attempt: usize },
    Decline { id: TxnId, retry_after: Option<Span> },
    Void { id: TxnId },
    Vote { build: Build, stage: usize, verdict: Verdict },
    Tell { to: Option<PeerIx>, message: Message },
    Probe { server: ServerIx },
    Listen,
    Wake { after: Span },
}
