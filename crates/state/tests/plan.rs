//! Plan output for operators.

use std::fmt::Write;

use expect_test::{Expect, expect};
use molespan_state::control::{
    Adapter, Change, Configuration, IntentNumber, Model, Plan, Policy, Service, ServiceKind,
    TenantLimits, apply_changes, plan,
};
use molespan_types::{ModelName, ServiceName, TenantId};

/// Returns a service that runs the model `caption`.
fn captions() -> Service {
    Service {
        kind: ServiceKind::Completion,
        model: Some(ModelName::from("caption")),
        adapters: Vec::new(),
        max_concurrency: 32,
        max_queue: 12,
        queue_timeout_ms: 500,
        batch: true,
        replicas: 8,
    }
}

/// Creates a change that puts a service.
fn put_service(name: &str, service: Service) -> Change {
    let name = ServiceName::from(name);
    Change::PutService { name, service }
}

/// Creates a change that puts a model.
fn put_model(name: &str, version: u32) -> Change {
    Change::PutModel {
        name: ModelName::from(name),
        model: Model { version },
    }
}

/// Creates a change that puts an adapter.
fn put_adapter(name: &str, model: &str) -> Change {
    Change::PutAdapter {
        name: name.to_owned(),
        adapter: Adapter {
            model: ModelName::from(model),
            version: 1,
        },
    }
}

/// Creates a change that sets the limits of a tenant.
fn put_tenant(name: &str, limits: [u32; 3]) -> Change {
    let [requests_per_second, burst, batch_weight] = limits;
    Change::PutTenant {
        name: TenantId::from(name),
        limits: TenantLimits {
            requests_per_second,
            burst,
            batch_weight,
        },
    }
}

/// Returns a configuration with one service, its model, an adapter and a tenant.
fn archive() -> Configuration {
    let mut configuration = Configuration::default();
    let changes = [
        put_model("caption", 3),
        put_adapter("amharic", "caption"),
        put_service("captions", captions()),
        put_tenant("kebele", [10, 20, 2]),
    ];
    apply_changes(&mut configuration, &changes);
    configuration
}

/// Formats a plan as text.
fn text(plan: &Plan) -> String {
    let mut text = String::new();
    for line in &plan.lines {
        writeln!(text, "{} {}", line.action, line.subject).unwrap();
        for effect in &line.effects {
            writeln!(text, "  {effect}").unwrap();
        }
        for warning in &line.warnings {
            writeln!(text, "  ! {warning}").unwrap();
        }
    }
    for problem in &plan.problems {
        writeln!(
            text,
            "problem in change {}: {}",
            problem.change, problem.message
        )
        .unwrap();
    }
    text
}

/// Compares the plan of `changes` against [`archive`] with `expected`.
fn check(changes: &[Change], expected: &Expect) {
    expected.assert_eq(&text(&plan(&archive(), IntentNumber(1), changes)));
}

#[test]
fn first_configuration_is_described() {
    let changes = [put_service("captions", captions()), put_model("caption", 3)];
    let plan = plan(&Configuration::default(), IntentNumber(1), &changes);
    expect![[r#"
        create service captions
          8 engines load model caption and serve it
          each gateway runs up to 32 online requests and queues up to 12 for at most 500 ms
          batch jobs may use its engines
        create model caption
          services may run version 3 of it
    "#]]
    .assert_eq(&text(&plan));
}

#[test]
fn decreased_limits_produce_warnings() {
    let service = Service {
        max_queue: 4,
        replicas: 6,
        batch: false,
        adapters: vec!["amharic".to_owned()],
        ..captions()
    };
    let changes = [
        put_service("captions", service),
        put_model("caption", 2),
        put_tenant("kebele", [5, 20, 2]),
        Change::PutPolicy {
            policy: Policy {
                tail_protection: 20,
            },
        },
        put_adapter("amharic", "caption"),
    ];
    check(
        &changes,
        &expect![[r#"
        update service captions
          its engines load adapter amharic
          the limit of queued requests changes from 12 to 4
          batch jobs may no longer use its engines
          the number of its engines changes from 8 to 6
          ! the limit of queued requests falls from 12 to 4
          ! its batch jobs wait until this is changed back
          ! the number of its engines falls from 8 to 6
        update model caption
          its version changes from 3 to 2
          the 6 engines of service captions load version 2
          ! its version falls from 3 to 2
        update tenant kebele
          requests a second changes from 10 to 5
          ! requests a second falls from 10 to 5
        update policy
          tail protection changes from 50 to 20
          ! batch work may slow online requests more than before
        keep adapter amharic
    "#]],
    );
}

#[test]
fn removing_the_last_service_of_a_model_produces_a_warning() {
    let name = ServiceName::from("captions");
    check(
        &[Change::DeleteService { name }],
        &expect![[r#"
        delete service captions
          new requests are refused as not run: the service is unknown
          ! its batch jobs wait until they are cancelled
          ! removes the last service that runs model caption
    "#]],
    );
}

#[test]
fn all_problems_are_reported_with_their_change() {
    let broken = Service {
        model: None,
        max_concurrency: 0,
        queue_timeout_ms: 0,
        ..captions()
    };
    let application = Service {
        kind: ServiceKind::Application,
        adapters: vec!["amharic".to_owned()],
        ..captions()
    };
    let other_model = Service {
        model: Some(ModelName::from("missing")),
        adapters: vec!["amharic".to_owned(), "none".to_owned()],
        ..captions()
    };
    let changes = [
        put_service("broken", broken),
        put_service("albums", application),
        put_service("other", other_model),
        Change::DeleteModel {
            name: ModelName::from("caption"),
        },
        Change::DeleteAdapter {
            name: "amharic".to_owned(),
        },
        Change::DeleteService {
            name: ServiceName::from("gone"),
        },
        put_tenant("kebele", [0, 0, 0]),
        put_tenant("kebele", [1, 1, 1]),
        Change::PutPolicy {
            policy: Policy {
                tail_protection: 101,
            },
        },
        put_adapter("", "missing"),
    ];
    check(
        &changes,
        &expect![[r#"
        create service broken
          each gateway runs up to 0 online requests and queues up to 12 for at most 0 ms
          batch jobs may use its engines
        create service albums
          requests are passed through to its back ends
          each gateway runs up to 32 online requests and queues up to 12 for at most 500 ms
          batch jobs may use its engines
        create service other
          8 engines load model missing and serve it
          each gateway runs up to 32 online requests and queues up to 12 for at most 500 ms
          batch jobs may use its engines
        delete model caption
          engines may unload model caption
        delete adapter amharic
          engines may unload adapter amharic
        delete service gone
        update tenant kebele
          requests a second changes from 10 to 0
          its burst changes from 20 to 0
          the weight of its jobs changes from 2 to 0
          ! requests a second falls from 10 to 0
          ! its burst falls from 20 to 0
          ! the weight of its jobs falls from 2 to 0
        update tenant kebele
          requests a second changes from 10 to 1
          its burst changes from 20 to 1
          the weight of its jobs changes from 2 to 1
          ! requests a second falls from 10 to 1
          ! its burst falls from 20 to 1
          ! the weight of its jobs falls from 2 to 1
        update policy
          tail protection changes from 50 to 101
          ! batch jobs may take longer than before
        create adapter 
          services of model missing may use version 1 of it
        problem in change 0: service broken could serve no request: max_concurrency is 0
        problem in change 0: service broken has a queue, but queue_timeout_ms is 0
        problem in change 0: service broken has engines but no model
        problem in change 1: service albums is an application and cannot run model caption
        problem in change 1: service albums is an application and cannot use adapters
        problem in change 1: service albums is an application and cannot have 8 engines
        problem in change 2: service other needs the unknown model missing
        problem in change 2: service other needs the unknown adapter amharic
        problem in change 2: service other needs the unknown adapter none
        problem in change 3: model caption is still used by service albums
        problem in change 3: model caption is still used by service captions
        problem in change 4: adapter amharic is still used by service albums
        problem in change 4: adapter amharic is still used by service other
        problem in change 5: there is no service gone
        problem in change 6: tenant kebele has a limit of zero: requests_per_second
        problem in change 6: tenant kebele has a limit of zero: burst
        problem in change 6: tenant kebele has a limit of zero: batch_weight
        problem in change 7: tenant kebele is changed twice in one intent
        problem in change 8: tail_protection is 101, above 100
        problem in change 9: the adapter has no name
        problem in change 9: adapter  needs the unknown model missing
    "#]],
    );
}

#[test]
fn moving_a_used_adapter_to_another_model_is_a_problem() {
    let mut service = captions();
    service.adapters = vec!["amharic".to_owned()];
    let mut configuration = archive();
    apply_changes(&mut configuration, &[put_service("captions", service)]);
    let changes = [put_model("other", 1), put_adapter("amharic", "other")];
    let plan = plan(&configuration, IntentNumber(1), &changes);
    expect![[r#"
        create model other
          services may run version 1 of it
        update adapter amharic
          its model changes from caption to other
        problem in change 1: adapter amharic is used by service captions, which does not run model other
    "#]].assert_eq(&text(&plan));
}
