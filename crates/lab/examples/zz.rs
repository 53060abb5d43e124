use lagoonyard::{
    core::{burn, settings::Policy},
    prelude::*,
};
use lagoonyard_lab::{Fleet, Plan, caller::Load};
fn main() {
    for plan in [Plan::huon(1), Plan::caroni(1)] {
        let mut fleet = Fleet::new(plan, Policy::Full, 1);
        fleet.log_level = log::Level::Error;
        fleet.advance(Duration::from_secs(5));
        let first = fleet.hosts.keys().next().cloned().unwrap();
        fleet.apply(&first, "start", 0, None);
        fleet.advance(Duration::from_secs(10));
        let ids: Vec<TrainerId> = fleet.trainers.keys().cloned().collect();
        fleet
            .engines
            .values_mut()
            .enumerate()
            .for_each(|(i, e)| e.speed = if i == 0 { 20.0 } else { 39.0 });
        ids.iter().for_each(|id| fleet.run_trainer(id));
        let until = fleet.now + Duration::from_secs(1000);
        fleet.run_callers(Load {
            generations_per_s: 1.5,
            bookings_per_s: 1.0,
            deadline: Duration::from_secs(20),
            until,
        });
        for _ in 0..20 {
            fleet.advance(Duration::from_secs(50));
            for host in fleet.hosts.values() {
                let Some(core) = host.core.as_ref() else { continue };
                let world = core.world();
                for (name, row) in &world.streams.rows {
                    println!(
                        "{:.0} {name} v{} b{} step {:?} p95 {:?} until {:?} drafts {} whole {} uses {} waiting {} supply {} free {} newest {:?} {}",
                        world.now.as_secs_f64(),
                        row.version,
                        row.cursor.batch(),
                        row.pace.step,
                        row.pace.p95(),
                        row.pace.until_pull(world.now),
                        row.drafts.len(),
                        row.drafts.values().filter(|d| d.finished.is_some()).count(),
                        row.uses.len(),
                        row.waiting.len(),
                        row.supply.slots,
                        row.supply.free,
                        row.supply.newest,
                        burn::report(world)["trainers"][&**name]
                    );
                }
            }
        }
        for (id, t) in &fleet.trainers {
            println!("{id} waits {:?}", t.waits);
        }
    }
}
