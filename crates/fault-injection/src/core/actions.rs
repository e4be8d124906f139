//! What the deciding part asks for.

use harrierdock_multi_site::{Action, Change, Event, InboundId, MultiSite, TrafficLocation};
use harrierdock_site_messages::{ForwardingOutcome, SiteMessage};

use super::classes::classes;
use super::happening::{Happening, Job};
use super::world::{World, SECOND};

impl World {
    pub(super) fn obey(&mut self, ix: usize, action: Action) {
        let (now, life) = (self.now, self.gateways[ix].life);
        match action {
            Action::ServeLocally {
                id,
                remaining: left,
            } => {
                let txn = &mut self.txns[id.0 as usize];
                txn.spent |= txn.across;
                let class = txn.class;
                self.serve(ix, Job::Client(id), id.0, class, left);
            }
            Action::Forward {
                id,
                path,
                forwarding_id,
                receiver_incarnation,
                heartbeat_sequence,
                remaining: left,
            } => {
                let txn = &mut self.txns[id.0 as usize];
                assert!(
                    !txn.across,
                    "seed {}: a txn went across twice",
                    self.found.seeds
                );
                txn.across = true;
                self.found.crossed += 1;
                let handover = harrierdock_site_messages::ForwardedRequest {
                    forwarding_id,
                    sender_incarnation: self.gateways[ix]
                        .sites
                        .as_ref()
                        .map_or(0, MultiSite::incarnation),
                    receiver_incarnation,
                    heartbeat_sequence,
                    class: classes()[txn.class].name.clone(),
                    remaining_ms: (left.0 / 1000) as u32,
                    request_id: id.0.to_string(),
                    ..Default::default()
                };
                self.send(ix, path.0, SiteMessage::Request(handover));
            }
            Action::Succeed { id, .. } => {
                self.found.crossed_settled += 1;
                self.answer(id, ForwardingOutcome::Succeeded);
            }
            Action::Reject { id, .. } => self.answer(id, ForwardingOutcome::NotAccepted),
            Action::Fail { id } => self.answer(id, ForwardingOutcome::Failed),
            Action::ServeInbound {
                inbound: InboundId(inward),
                class,
                remaining: left,
                request: handover,
                ..
            } => {
                let txn = handover.request_id.parse().unwrap_or(0);
                self.found.taken_while_drained += u64::from(self.gateways[ix].drained);
                self.gateways[ix].inward.insert(inward, txn);
                self.serve(ix, Job::Inward(inward), txn, class.0, left);
            }
            Action::AbandonInbound {
                inbound: InboundId(inward),
            } => {
                if self.gateways[ix].inward.remove(&inward).is_some() {
                    let (verdict, body) = (ForwardingOutcome::Failed, Vec::new());
                    self.tell(
                        ix,
                        Event::InboundCompleted {
                            inbound: InboundId(inward),
                            outcome: verdict,
                            build: None,
                            body,
                        },
                    );
                }
            }
            Action::Connect { peer, address } => {
                let to = self
                    .gateways
                    .iter()
                    .position(|g| g.address == address && g.party == peer);
                let reached =
                    to.filter(|to| self.gateways[*to].sites.is_some() && !self.cut.contains(&true));
                let took = self.span(1_000, 50_000);
                match reached {
                    Some(to) => {
                        self.numbered += 1;
                        let link = self.numbered;
                        self.after(took, Happening::Up { from: ix, to, link });
                    }
                    None => self.after(SECOND, Happening::Unreachable { gateway: ix, peer }),
                }
            }
            Action::ClosePath { path } => self.hang_up(path.0, ix, true),
            Action::Send { path, message } => self.send(ix, path.0, message),
            Action::StatusChanged(Change::TrafficMoved { location: home, .. }) => {
                if home != TrafficLocation::Local {
                    self.moves.entry(ix).or_default().push(now);
                }
            }
            Action::StatusChanged(_) => {}
            Action::SetTimer { after } => {
                let at = now + after;
                if self.gateways[ix].wake.is_none_or(|w| at < w || w <= now) {
                    self.gateways[ix].wake = Some(at);
                    self.after(after, Happening::Wake { gateway: ix, life });
                }
            }
        }
    }
}
