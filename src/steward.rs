        let was = self.hedge.members().iter().any(|m| m.id == me);
        // Of a leader that is in no list here, only its messages come: it is found by asking.
        let unknown = self.hedge.leader.is_some() && self.leader().is_none();
        let lost = self.hedge.lonely(now, LONELY_MS) || unknown;
        let idle = was && (self.hedge.is_leader() || !lost);
        if idle || now < self.next_join {
            return;
        }
        self.next_join = now.plus(if was { LONELY_MS } else { JOIN_AGAIN_MS });
        let Some(admin) = self.settings.listeners.admin else {
            return;
        };
        let member = as_member(&self.settings, admin, me);
        let mut at: BTreeSet<SocketAddr> = self.settings.seed_peers().into_iter().collect();
        at.extend(self.hedge.members().iter().map(|m| m.peer));
        if let Some(leader) = self.join_at.take().or(self.pointed) {
            at = BTreeSet::from([leader]);
        }
        at.remove(&member.peer);
        for to in at {
            self.effects.ask_standing(to, member.clone(), was);
        }
    }

    fn stand(&mut self, asked: MemberId, at: SocketAddr, answer: Option<Joined>, now: Tick) {
        let me = self.hedge.kept.me;
        if asked != me {
            return;
        }
        if !self.settings.can_vote() {
            match answer {
                Some(Joined::Listed) if self.pointed != Some(at) => {
                    info!(target: "hedge", "{at} leads");
                    self.pointed = Some(at);
                }
                Some(Joined::Listed) => {}
                _ if self.pointed == Some(at) => self.pointed = None,
                _ => {}
            }
        }
        let Some(answer) = answer else { return };
        if matches!(answer, Joined::Noted | Joined::Listed | Joined::Removed)
            && self.taken_in != Some(at)
        {
            self.taken_in = Some(at);
            self.effects.keep_links(self.hedge.members());
        }
        let listed = self.hedge.members().iter().any(|m| m.id == me);
        match answer {
            Joined::Elsewhere(Some(leader)) if self.join_at.is_none() => {
                self.join_at = Some(leader);
                self.next_join = now;
            }
            // An id stands for a disk with its vote and its log, so it may come back as a learner.
            Joined::Removed if listed && !self.hedge.is_leader() => {
                info!(target: "hedge", "member {me} was removed, is to be taken in again");
            }
            Joined::Found if !listed && self.settings.bootstrap && self.settings.can_vote() => {
                let Some(admin) = self.settings.listeners.admin else {
                    return;
                };
                info!(target: "hedge", "founds the hedge");
                let founder = Member { voter: true, ..as_member(&self.settings, admin, me) };
                self.start_over(vec![founder], now);
            }
            _ => {}
        }
    }

    /// With an empty log and a fresh id; the old one is never used again.
    fn start_over(&mut self, mut members: Vec<Member>, now: Tick) {
        let me = fresh_id(self.random);
        members.iter_mut().for_each(|m| m.id = me);
        let snapshot = Snapshot { members, ..Snapshot::default() };
        let kept = Kept { me, epoch: self.hedge.kept.epoch, snapshot, ..Kept::default() };
        self.hedge = Hedge::new(kept, false, now, self.random);
        self.hedge.vet = readable;
        self.hedge.dirty = Dirty::all();
        self.desk.forget();
        self.almanac = Almanac::default();
        self.applied = Index(0);
        self.configure(None);
        self.versions.clear();
        self.listing = None;
        self.effects.keep_links(&[]);
        self.joining.clear();
    }

    /// Whether this is the steward that the first seed, having no disk, tells to found the hedge:
    /// the first by address of those that asked in the first moments.
    fn names(&mut self, member: &Member, now: Tick) -> bool {
        let first = self.settings.listeners.admin;
        if self.settings.can_vote()
            || self.settings.founder() != first
            || !self.hedge.members().is_empty()
            || !member.can_vote
        {
            return false;
        }
        self.joining.entry(member.id).or_insert_with(|| (member.clone(), now));
        let oldest = self.joining.values().map(|(_, asked)| *asked).min();
        if self.nominated.is_none() && oldest.is_some_and(|t| now.since(t) > NOMINATE_MS) {
            let chosen = self.joining.values().map(|(m, _)| m).min_by_key(|m| m.admin);
            self.nominated = chosen.map(|m| m.id);
        }
        self.nominated == Some(member.id)
    }

    fn facts(&self, service: &ServiceName, now: Tick) -> Facts {
        let lead = self.almanac.leads.get(service).cloned();
        let patience = MISSED_BEATS * self.settings.heartbeat_ms;
        let mut facts = Facts {
            service: service.clone(),
            epoch: self.hedge.kept.epoch,
            databases: self
                .almanac
                .of_service(service)
                .map(|(id, i)| (id.clone(), i.clone()))
                .collect(),
            departed: BTreeMap::new(),
            beating: BTreeSet::new(),
            sync_replicas: self.services.get(service).map_or(0, |s| s.sync_replicas),
            leases_gone: false,
            given_back: None,
            lead,
        };
        // Without synchronous replicas no copy is counted on.
        if facts.sync_replicas > 0 {
            facts.departed = self.almanac.departed(service);
        }
        if let Some(office) = &self.office {
            let beats = |id: &&InstanceId| {
                office.beats.get(*id).is_some_and(|(at, _)| now.since(*at) < patience)
            };
            facts.beating =
                facts.databases.iter().map(|(id, _)| id).filter(beats).cloned().collect();
            let steady = |s: &Succession| s.stage == Stage::Steady;
            if let Some(lead) = &facts.lead
                && !office.successions.get(service).is_some_and(steady)
            {
                facts.leases_gone = office.leases.gone(service, lead.term, now);
                let (seen, trusting) = (office.freshness.newest(service), facts.sync_replicas == 0);
                facts.given_back =
                    office.leases.given_back(service, lead.term, seen, trusting, now);
            }
        }
        facts
    }

    /// Takes one step of a service's succession and carries out what it asks for.
    fn move_on(
        &mut self,
        service: &ServiceName,
        now: Tick,
        step: impl FnOnce(&mut Succession, &Facts) -> Vec<Deed>,
    ) {
        // The databases of a gateway are alike: none of them leads.
        if !self.hedge.granting(now) || self.settings.rollout == Rollout::Api {
            return;
        }
        let facts = self.facts(service, now);
        let behind = self.applied < self.hedge.commit;
        let Some(office) = &mut self.office else {
            return;
        };
        // What an earlier leader decided may stand in the next entry.
        if behind && !office.successions.contains_key(service) {
            return;
        }
        let mut deeds = Vec::new();
        let known = office.successions.get(service).map(Succession::standing);
        let succession = office.successions.entry(service.clone()).or_insert_with(|| {
            let (begun, first) = Succession::begin(&facts, now);
            deeds = first;
            begun
        });
        let before = std::mem::discriminant(&succession.stage);
        deeds.extend(step(succession, &facts));
        let standing = succession.standing();
        if known != Some(standing) {
            office.tidings.stir(service);
            // A sealed position is true for the moment it is told in, so it is told each time.
            match standing {
                (true, Some(_)) => office.sealed.insert(service.clone()),
                _ => office.sealed.remove(service),
            };
        }
        let stirs = succession.stage != Stage::Steady || !deeds.is_empty();
        match stirs {
            true => office.stirred.insert(service.clone()),
            false => office.stirred.remove(service),
        };
        if before != std::mem::discriminant(&succession.stage) {
            info!(target: "failover", "{service}: now {}", stage_name(&succession.stage));
        }
        let attempt = succession.attempt;
        for deed in deeds {
            self.carry_out(service, deed, attempt, now);
        }
    }

    fn carry_out(&mut self, service: &ServiceName, deed: Deed, attempt: Attempt, now: Tick) {
        match deed {
            Deed::Propose(Change::Covered { .. } | Change::Returned { .. })
                if !self.hedge.all_read(LAYOUT) =>
            {
                debug!(target: "failover", "{service}: waits until all stewards are exchanged");
            }
            Deed::Propose(change) => {
                self.propose(&change, now);
            }
            Deed::Revoke(term) => {
                // Ahead of whatever waits.
                let frame =
                    encode(&Frame::Steward(ToStile::Revoke { service: service.clone(), term }));
                for conn in self.stiles.keys() {
                    self.effects.send_first(*conn, frame.clone());
                }
                self.pump(now);
            }
            Deed::Ask(id, ask) => {
                // The same question twice is one; beyond the bound whoever needs it asks again.
                let question = (service.clone(), id, ask, attempt);
                if self.questions.len() < QUESTIONS_WAITING && !self.questions.contains(&question) {
                    self.questions.push_back(question);
                }
                self.ask_on();
            }
            Deed::Post(target) => {
                let Some(provider) = &self.settings.provider else {
                    warn!(target: "failover", "no provider is set, {service} can't be moved");
                    return;
                };
                let (at, holder) = (provider.address, &self.settings.node_name);
                self.effects.post_failover(at, holder, service, &target, attempt);
            }
        }
    }

    /// Asks databases what waits to be asked, so many at a time: dark ones take long to answer.
    fn ask_on(&mut self) {
        while self.asking < MAX_ASKS
            && let Some((service, id, ask, attempt)) = self.questions.pop_front()
        {
            let Some(record) = self.almanac.instances.get(&id) else {
                continue;
            };
            let address = record.instance.address;
            let started = self.effects.ask_database(&service, &id, address, ask, attempt);
            // Without a thread it is not asked; whoever needs the answer asks again.
            self.asking += usize::from(started);
        }
    }

    // -- stiles --------------------------------------------------------------------------------

    fn send_conn(&mut self, conn: u64, frame: &Frame) {
        self.send_bytes(conn, encode(frame));
    }
    fn send_bytes(&mut self, conn: u64, frame: Arc<[u8]>) {
        self.effects.send(conn, frame);
    }
    /// Tells all nodes which stewards there are now: one that lost this leader looks for another there.
    fn introduce(&mut self) {
        let stewards = self.hedge.members().iter().map(|m| m.peer).collect();
        let frame = encode(&Frame::Steward(ToStile::Welcome { stewards }));
        let conns: Vec<u64> = self.stiles.keys().copied().collect();
        conns.into_iter().for_each(|conn| self.send_bytes(conn, frame.clone()));
    }
    /// Tells all stiles of a change of the directory; one that is far behind gets the whole later.
    fn tell_stiles(&mut self, message: ToStile) {
        let frame = encode(&Frame::Steward(message));
        let conns: Vec<u64> = self.stiles.keys().copied().collect();
        for conn in conns {
            let waiting = self.effects.waiting(conn).unwrap_or(0);
            if waiting + frame.len() <= CHANGES_WAITING {
                self.send_bytes(conn, frame.clone());
            } else if let Some(guest) = self.stiles.get_mut(&conn) {
                guest.directory_due = true;
            }
        }
    }

    /// The directory changed: stiles are told of all that does so within a moment.
    fn moved(&mut self, id: &InstanceId, now: Tick) {
        self.listing = None;
        if self.office.is_some() {
            self.moved.insert(id.clone());
            self.moved_since.get_or_insert(now);
        }
    }
    fn tell_moved(&mut self, now: Tick) {
        // At once for one service, and once for many that follow.
        if self.renew_due && now.since(self.renew_told) >= GATHER_MS {
            (self.renew_due, self.renew_told) = (false, now);
            self.tell_stiles(ToStile::Renew);
        }
        if self.moved_since.is_none_or(|t| now.since(t) < GATHER_MS) {
            return;
        }
        self.moved_since = None;
        let (mut listed, mut gone) = (Vec::new(), Vec::new());
        for id in std::mem::take(&mut self.moved) {
            match self.almanac.instances.get(&id) {
                Some(record) => listed.push(Listed::of(&id, &record.instance)),
                None => gone.push(id),
            }
        }
        self.tell_stiles(ToStile::Moved { listed, gone });
    }

    /// Sends a stile what it is owed, as soon as nothing older waits for it.
    fn catch_up(&mut self, conn: u64, now: Tick) {
        if self.effects.waiting(conn) != Some(0) {
            return;
        }
        let Some(guest) = self.stiles.get_mut(&conn) else {
            return;
        };
        if std::mem::take(&mut guest.directory_due) {
            let instances = &self.almanac.instances;
            let whole = || {
                let listed = instances.iter().map(|(id, r)| Listed::of(id, &r.instance));
                encode(&Frame::Steward(ToStile::Directory(listed.collect())))
            };
            let frame = Arc::clone(self.listing.get_or_insert_with(whole));
            self.send_bytes(conn, frame);
        }
        if let Some(lanes) = self.versions.back()
            && let Some(guest) = self.stiles.get_mut(&conn)
            && guest.revision < lanes.revision
        {
            let from = std::mem::replace(&mut guest.revision, lanes.revision);
            let frame = self.encoded.entry(from).or_insert_with(|| {
                let base = self.versions.iter().find(|c| c.revision == from);
                encode(&Frame::Steward(match base {
                    Some(base) => ToStile::Changed(Box::new(lanes.since(base))),
                    None => ToStile::Configured(Box::new(lanes.clone())),
                }))
            });
            let frame = frame.clone();
            self.send_bytes(conn, frame);
        }
        let renewal = self.stiles.get_mut(&conn).and_then(|g| g.renewal.take());
        if let Some((seq, asks)) = renewal {
            self.grant(conn, seq, &asks, now);
        }
    }

    fn hear_stile(&mut self, conn: u64, message: ToSteward, now: Tick) {
        if self.office.is_none() {
            let leader = self.leads_at().map(|l| l.0);
            return self.send_conn(conn, &Frame::Steward(ToStile::Elsewhere(leader)));
        }
        if let ToSteward::Hello { node, life, revision, zone } = message {
            if !self.hedge.granting(now) || self.applied < self.hedge.commit {
                // What this leader has may be older than what the stile already heard.
                self.early.push((conn, ToSteward::Hello { node, life, revision, zone }));
                return;
            }
            // It may have left while this leader was not sure yet; nothing would end its seat.
            if self.effects.waiting(conn).is_none() {
                return;
            }
            info!(target: "stiles", "{node} is here");
            if let Some(office) = &mut self.office {
                office.leases.seat(&node, life, conn, now);
                office.tidings.stir_all();
            }
            let guest = Guest {
                node,
                zone,
                revision,
                directory_due: true,
                renewal: None,
                told: None,
                owed: BTreeSet::new(),
                answers: VecDeque::new(),
            };
            self.stiles.insert(conn, guest);
            let stewards = self.hedge.members().iter().map(|m| m.peer).collect();
            self.send_conn(conn, &Frame::Steward(ToStile::Welcome { stewards }));
            return self.catch_up(conn, now);
        }
        let Some(node) = self.stiles.get(&conn).map(|g| g.node.clone()) else {
            return;
        };
        // What an older connection of the same stile still brings is overtaken by the newer one.
        let seat = self.office.as_ref().and_then(|o| o.leases.seats.get(&node));
        if seat.is_none_or(|s| s.conn != Some(conn)) {
            return;
        }
        match message {
            ToSteward::Hello { .. } => {}
            ToSteward::Whole => {
                if let Some(guest) = self.stiles.get_mut(&conn) {
                    guest.revision = Revision(0);
                    self.catch_up(conn, now);
                }
            }
            ToSteward::Renew { seq, heard, shares, wants, saw, asks, busy } => {
                let zone = self.stiles.get(&conn).map(|g| g.zone.as_str()).unwrap_or_default();
                if let Some(office) = &mut self.office {
                    for (service, busy) in busy {
                        office.cadastre.report(&node, zone, service, busy);
                    }
                    for service in office.leases.report(&node, shares, now) {
                        office.tidings.stir(&service);
                    }
                    for (service, more) in wants {
                        if self.services.contains_key(&service) {
                            office.leases.want(&node, &service, more, now);
                        }
                    }
                }
                self.hear_saw(conn, heard, &saw, now);
                if let Some(guest) = self.stiles.get_mut(&conn) {
                    guest.renewal = Some((seq, asks));
                }
                self.catch_up(conn, now);
            }
            ToSteward::Suspect { service, instance, why } => {
                debug!(target: "failover", "{service}: {node} doubts {instance} ({why:?})");
                self.move_on(&service, now, |s, facts| {
                    s.suspect(facts, &node, &instance, why, now)
                });
            }
            ToSteward::Revoked { service, term, highest } => {
                if let Some(office) = &mut self.office {
                    office.leases.give_back(&node, &service, term, highest);
                }
                if let Some(guest) = self.stiles.get_mut(&conn) {
                    guest.owed.insert(service);
                }
            }
            ToSteward::Bye => {
                if let Some(office) = &mut self.office {
                    office.leases.leave(&node);
                }
            }
        }
    }

    /// What a stile saw at primaries, told from the answer that it had heard before.
    fn hear_saw(&mut self, conn: u64, heard: u64, saw: &[Saw], now: Tick) {
        let answers = self.stiles.get(&conn).map(|g| &g.answers);
        let answered = answers.and_then(|all| all.iter().find(|(seq, _)| *seq == heard));
        if let (Some((_, answered)), Some(office)) = (answered, &mut self.office) {
            for saw in saw {
                let lead = self.almanac.leads.get(&saw.service);
                office.freshness.learn(lead, *answered, saw, now);
            }
        }
    }

    /// Answers a renewal: all that was told on this connection is granted again, and what is new
    /// is told.
    fn grant(&mut self, conn: u64, seq: u64, asks: &[ServiceName], now: Tick) {
        if !self.hedge.granting(now) {
            return;
        }
        let Some(office) = &mut self.office else { return };
        let Some(guest) = self.stiles.get_mut(&conn) else { return };
        let whole = guest.told.is_none();
        let mut owed = std::mem::take(&mut guest.owed);
        owed.extend(office.leases.lent(&guest.node).cloned());
        let due: BTreeSet<&ServiceName> =
            match guest.told.and_then(|told| office.tidings.since(told)) {
                None => self.services.keys().collect(),
                Some(stirred) => stirred.chain(&owed).chain(&office.sealed).collect(),
            };
        let mut grants = Vec::new();
        for service in due.into_iter().filter_map(|name| self.services.get(name)) {
            let lead = self.almanac.leads.get(&service.name);
            let standing = match (lead, office.successions.get(&service.name)) {
                (Some(_), Some(s)) if s.revoking => {
                    s.sealed.map_or(Standing::Unled, Standing::Sealed)
                }
                (Some(lead), Some(_)) => {
                    Standing::Led { term: lead.term, primary: lead.primary.clone() }
                }
                _ => Standing::Unled,
            };
            let share =
                office.leases.share(&guest.node, &service.name, service.max_connections, now);
            let grant = Grant { service: service.name.clone(), standing, share };
            grants.extend(office.leases.tell(&guest.node, grant));
        }
        office.leases.renewed(&guest.node, now);
        guest.told = Some(office.tidings.newest());
        if guest.answers.len() == ANSWERS_KEPT {
            guest.answers.pop_front();
        }
        guest.answers.push_back((seq, now));
        let fresh = asks.iter().filter_map(|name| office.freshness.tell(name, now)).collect();
        let plots = office.cadastre.due(&guest.node, whole);
        let granted = ToStile::Granted { seq, lease_ms: LEASE_MS, whole, grants, fresh, plots };
        self.send_conn(conn, &Frame::Steward(granted));
    }

    // -- HTTP ----------------------------------------------------------------------------------

    fn answer_http(&mut self, request: Request, reply: SyncSender<Response>, now: Tick) {
        // A caller that no longer waits is none of our business.
        let say = |response: Response| drop(reply.try_send(response));
        let path = request.path.split('?').next().unwrap_or_default().to_owned();
        let method = request.method.as_str();
        let instance = path.strip_prefix("/instances/").filter(|id| {
            !id.is_empty()
                && id.len() <= 200
                && id.bytes().all(|b| b.is_ascii_graphic() && b != b'/')
        });
        let known = match (path.as_str(), instance) {
            ("/configuration", _) => ["GET", "PUT"].contains(&method),
            ("/status", _) => method == "GET",
            (_, Some(_)) => ["PUT", "DELETE"].contains(&method),
            _ => return say(Response::refusal(404, "no such path")),
        };
        if !known {
            return say(Response::refusal(405, "not with this method"));
        }
        if path == "/status" {
            return say(Response::json(200, self.status(now).to_string().into_bytes()));
        }
        // What can't be read is refused by any steward.
        let parsed = match (method, instance) {
            ("PUT", None) => match read_configuration(&request) {
                Ok(change) => Some(change),
                Err(response) => return say(response),
            },
            ("PUT", Some(id)) => match serde_json::from_slice::<Beat>(&request.body) {
                Ok(beat) if is_word(&beat.instance.target_service.0) => Some(Change::Beat {
                    id: InstanceId(id.to_owned()),
                    instance: beat.instance,
                    sequence: beat.sequence,
                }),
                Ok(_) => return say(Response::refusal(400, "target_service is no word")),
                Err(e) => return say(Response::refusal(400, &format!("cannot be read: {e}"))),
            },
            // One that says goodbye has ended: whatever is still under way of it is late.
            ("DELETE", Some(id)) => {
                Some(Change::Gone { id: InstanceId(id.to_owned()), sequence: u64::MAX })
            }
            _ => None,
        };
        if !self.hedge.is_leader() {
            return say(match self.leads_at() {
                Some((_, admin)) => Response::elsewhere(format!("http://{admin}{path}")),
                None => Response::refusal(503, "no leader"),
            });
        }
        // Without a quorum nothing can be confirmed, and a new leader may not have applied yet what
        // the one before acknowledged.
        if !self.hedge.granting(now) {
            return say(Response::refusal(503, "no quorum"));
        }
        self.apply(now);
        if self.unreadable.is_some() {
            return say(Response::refusal(503, "stopping"));
        }
        let tolerated = self.settings.tolerated();
        if parsed.is_some() && !self.almanac.begun() {
            let (voters, needed) = (self.hedge.voters().len(), 2 * tolerated + 1);
            if !self.hedge.may_begin(tolerated, now) {
                let why = format!("being founded: {voters} of {needed} stewards vote");
                return say(Response::refusal(503, &why));
            }
            if voters < needed {
                warn!(target: "hedge", "begins with {voters} voters of {needed}: not as many \
                    machines may be lost as fault_tolerance says");
            }
        }
        let call = match parsed {
            Some(Change::Beat { id, instance, sequence }) => {
                return self.take_beat(id, instance, sequence, reply, now);
            }
            Some(change) => Call::Change(change),
            None => Call::ReadConfiguration,
        };
        let ready = self.reads.ask(&mut self.hedge, &self.almanac, call, reply, now);
        self.carry_through(ready, now);
        // One that is alone has nobody to wait for.
        self.answer_reads(now);
    }

    fn answer_reads(&mut self, now: Tick) {
        let settled = self.reads.settled(&self.hedge, &self.almanac, self.applied, now);
        self.carry_through(settled, now);
    }
    fn carry_through(
        &mut self,
        verdicts: impl IntoIterator<Item = (SyncSender<Response>, Verdict)>,
        now: Tick,
    ) {
        for (reply, verdict) in verdicts {
            match verdict {
                // A caller that no longer waits is none of our business.
                Verdict::Answer(response) => drop(reply.try_send(response)),
                Verdict::Propose(change) => self.await_change(&change, reply, now),
            }
        }
    }

    /// The answer to a beat: later ones are to come here at once, without another steward between.
    fn beaten(&self) -> Response {
        match self.settings.listeners.admin {
            Some(admin) => {
                let body = serde_json::json!({ "heartbeat_url": admin }).to_string();
                Response::json(200, body.into_bytes())
            }
            None => Response::ok(),
        }
    }

    fn take_beat(
        &mut self,
        id: InstanceId,
        instance: Instance,
        sequence: u64,
        reply: SyncSender<Response>,
        now: Tick,
    ) {
        let (service, role) = (instance.target_service.clone(), instance.database_role);
        // That it was heard is known at once; what it said counts only once it is committed.
        let mut newest = false;
        if let Some(office) = &mut self.office {
            let heard = office.beats.entry(id.clone()).or_insert((now, 0));
            newest = sequence > heard.1;
            if newest {
                *heard = (now, sequence);
            }
        }
        if self.almanac.news(&id, &instance, sequence) {
            self.await_change(&Change::Beat { id, instance, sequence }, reply, now);
        } else {
            drop(reply.try_send(self.beaten()));
            // A replica, or the primary that is known, says nothing new by this.
            let known = self.almanac.leads.get(&service).is_some_and(|l| l.primary == id);
            if newest && role == Role::Primary && !known {
                self.move_on(&service, now, |s, facts| s.beat(facts, &id, role, now));
            }
        }
    }

    /// Proposes what a caller asked for; it is answered when that is committed and applied.
    fn await_change(&mut self, change: &Change, reply: SyncSender<Response>, now: Tick) {
        match self.propose(change, now) {
            Some(index) => self.proposed.add(self.hedge.kept.epoch, index, reply),
            // A caller that no longer waits is none of our business.
            None => drop(reply.try_send(Response::refusal(503, "no leader"))),
        }
    }

    fn status(&self, now: Tick) -> serde_json::Value {
        let members: Vec<_> = self
            .hedge
            .members()
            .iter()
            .map(|m| serde_json::json!({ "id": m.id.0, "node": m.node, "peer": m.peer, "admin": m.admin, "voter": m.voter }))
            .collect();
        let databases: Vec<_> = self
            .almanac
            .instances
            .iter()
            .map(|(id, r)| serde_json::json!({ "id": id, "database": r.instance, "sequence": r.sequence }))
            .collect();
        let stiles: Vec<_> = self.office.iter().flat_map(|o| &o.leases.seats).map(|(node, seat)| {
            serde_json::json!({
                "node": node,
                "connected": seat.conn.is_some(),
                "heard_ms_ago": now.since(seat.heard),
                "lease_left_ms": (seat.granted.0 + LEASE_MS).saturating_sub(now.0),
                "services": seat.told.values().map(|g| serde_json::json!({
                    "service": g.service, "connections_allowed": g.share,
                    "term": match &g.standing { Standing::Led { term, .. } => Some(term), _ => None },
                })).collect::<Vec<_>>(),
            })
        }).collect();
        let services: Vec<_> = self
            .almanac
            .leads
            .iter()
            .map(|(service, lead)| {
                let stage = self.office.as_ref().and_then(|o| o.successions.get(service));
                serde_json::json!({
                    "service": service, "term": lead.term, "primary": lead.primary,
                    "intent": lead.intent, "stage": stage.map(|s| stage_name(&s.stage)),
                })
            })
            .collect();
        serde_json::json!({
            "node": self.settings.node_name,
            "role": "steward",
            "member": self.hedge.kept.me.0,
            "leader": self.leader().map(|m| m.node.0.clone()),
            "leader_admin": self.leads_at().map(|l| l.1),
            "leads": self.hedge.granting(now),
            "epoch": self.hedge.kept.epoch,
            "entry": self.hedge.last().1,
            "committed": self.hedge.commit,
            "members": members,
            "revision": self.almanac.revision,
            "databases": databases,
            "services": services,
            "stiles": stiles,
            "peers": self.effects.peers(),
            "questions_waiting": self.questions.len(),
        })
    }
}

fn stage_name(stage: &Stage) -> &'static str {
    match stage {
        Stage::Steady => "steady",
        Stage::Founding { .. } => "asking the first primary",
        Stage::Doubting { .. } => "doubting the primary",
        Stage::Fencing { target: Some(_), .. } => "fencing for a planned change",
        Stage::Fencing { target: None, .. } => "fencing a lost primary",
        Stage::Intending { .. } => "writing down the intent",
        Stage::Posting { .. } => "promoting",
        Stage::Taking { .. } => "waiting for old leases",
    }
}

fn is_word(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= 200
        && !text.contains(|c: char| c.is_whitespace() || c.is_control())
}

fn judged(effect: &Effect) -> Response {
    match effect {
        Effect::Done | Effect::Nothing => Response::ok(),
        Effect::Outdated => Response::refusal(412, "another version is in place"),
        Effect::NotAbove => Response::refusal(400, "revision is not above the current one"),
        // No clear answer: a 4xx would deny one that may have been taken.
        Effect::Forgotten => Response::refusal(503, "too old to know whether it was taken"),
    }
}

fn read_configuration(request: &Request) -> Result<Change, Response> {
    let refuse = |why: &str| Err(Response::refusal(400, why));
    let base = match request.if_match.as_deref().map(str::parse) {
        Some(Ok(base)) => Revision(base),
        Some(Err(_)) => return refuse("If-Match is no number"),
        None => return refuse("If-Match is missing"),
    };
    match Configuration::read(&request.body) {
        Ok(config) => Ok(Change::Configure {
            base,
            revision: config.revision,
            body: ByteBuf::from(request.body.clone()),
        }),
        Err(why) => refuse(&why),
    }
}
